#pragma once

#include <borageslip_core/errors/Result.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

/** Priority of a waiting request: compared by client account first, then by route. Lower values are more urgent; 0 is
    the most urgent. */
struct RequestPriority {
    int account = 0;
    int route = 0;

    // clang-tidy 14 mistakes the zero in rewritten comparisons for a null pointer.
    auto operator<=>(const RequestPriority&) const = default; // NOLINT(modernize-use-nullptr)
};

/** A request that waits for a slot at any backend server of a service. Times are relative, because instances have
    different clocks. */
struct SlotRequest {
    uint64_t number = 0; ///< Unique within the sender's process.
    RequestPriority priority;
    uint64_t account = 0; ///< Hash of the client account's name.
    std::chrono::milliseconds onTimeWithin { 0 }; ///< A start within this time meets the latency objective; 0 when it has passed.
    std::chrono::milliseconds startWithin { 0 }; ///< Time until the last useful start.
    std::vector<uint64_t> excluded {}; ///< Hashes of the servers that must not be chosen.

    bool operator==(const SlotRequest&) const = default;
};

/** A slot that a request occupies at a backend server. */
struct HeldSlot {
    uint64_t number = 0; ///< Number of the request.
    uint64_t server = 0; ///< Hash of the server's id.

    bool operator==(const HeldSlot&) const = default;
};

/** Sent by an instance to the coordinator of a service: all its requests that wait for a slot or hold one.

    Each message carries the complete state, so that lost, repeated and reordered messages cause no lasting error: a
    request that is missing from a newer message has ended. */
struct ServiceState {
    std::string sender;
    uint64_t incarnation = 0; ///< Identifies the sender's process; increases with each start.
    uint64_t sequence = 0; ///< Increases with each state that the process sends.
    std::string service;
    bool expectsReply = true;
    std::vector<SlotRequest> waiting {};
    std::vector<HeldSlot> held {};
    std::vector<uint64_t> ejected {}; ///< Hashes of the servers that the sender has ejected after failures.

    bool operator==(const ServiceState&) const = default;
};

/** What the coordinator decided about one request. */
struct SlotDecision {
    uint64_t number = 0; ///< Number of the request.
    bool isGranted = false;
    uint64_t server = 0; ///< Hash of the server's id; 0 when the request was rejected.
    std::chrono::milliseconds retryAfter { 0 }; ///< Expected time until there is capacity; of a rejected request.

    bool operator==(const SlotDecision&) const = default;
};

/** The coordinator's reply to a ServiceState. A request without a decision is queued. */
struct ServiceDecisions {
    std::string sender;
    std::string service;
    uint64_t acknowledged = 0; ///< Sequence of the state; 0 when decisions are sent without one.
    std::string coordinator; ///< The service's coordinator as known to the sender.
    std::vector<SlotDecision> decisions {};

    bool operator==(const ServiceDecisions&) const = default;
};

/** Names the coordinator of a service. Sent to all instances by a new coordinator, and by the previous one to the
    instances whose slots it knows; each receiver sends its state to the new coordinator at once. */
struct CoordinatorNotice {
    std::string sender;
    std::string service;
    std::string coordinator;

    bool operator==(const CoordinatorNotice&) const = default;
};

std::vector<uint8_t> encodeServiceState(const ServiceState&);
std::vector<uint8_t> encodeServiceDecisions(const ServiceDecisions&);
std::vector<uint8_t> encodeCoordinatorNotice(const CoordinatorNotice&);

/** Decode a CBOR array whose first element is the message kind below. Errors: InvalidMessage when it is not a valid
    message of that kind. */
/** Whether a field of a message is a time in milliseconds within the longest one that is valid. */
bool isTimeField(const nlohmann::json&);

/** Whether a field of a message is a priority within the range that is valid. */
bool isPriorityField(const nlohmann::json&);

Result<ServiceState> serviceStateFrom(const nlohmann::json&);
Result<ServiceDecisions> serviceDecisionsFrom(const nlohmann::json&);
Result<CoordinatorNotice> coordinatorNoticeFrom(const nlohmann::json&);

constexpr int serviceStateKind = 4;
constexpr int serviceDecisionsKind = 5;
constexpr int coordinatorNoticeKind = 6;

/** Requests of one service that an instance reports to its coordinator, waiting and held together; bounds the size of a
    datagram. */
constexpr size_t maxReportedRequests = 320;

}
