#pragma once

#include <borageslip_core/errors/Result.h>
#include <borageslip_scheduling/limits/ServiceState.h>

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

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
