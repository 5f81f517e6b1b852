#pragma once

#include "RequestPriority.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace borageslip {

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

}
