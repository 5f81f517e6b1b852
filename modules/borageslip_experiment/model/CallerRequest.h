#pragma once

#include "../pattern/LoadPattern.h"

#include <borageslip_traffic/limits/RequestQueue.h>

#include <cstdint>
#include <vector>

namespace borageslip {

/** One caller's request in an experiment, from its first arrival to its end. */
struct CallerRequest {
    enum class State {
        Outside, ///< Not at an instance: not arrived yet, or to return after a rejection.
        Queued,
        AtEngine,
        Ended,
    };

    RequestPriority priority() const { return { requestClass->accountPriority, requestClass->priority }; }

    uint64_t id = 0;
    const PatternClass* requestClass = nullptr;
    uint64_t prefix = 0;
    int64_t promptTokens = 0;
    int64_t outputTokens = 0;
    Duration firstArrival {}; ///< Since the start of the run.
    Duration arrival {}; ///< Of the present call.
    Duration deadline {};
    bool retriesImmediately = false;
    int callCount = 0; ///< Times that its caller has called.

    State state = State::Outside;
    size_t instance = 0;
    size_t engine = 0;
    int sendCount = 0;
    std::vector<uint64_t> triedEngines; ///< Hashes of the engines that had it.
    int64_t pendingPrefill = 0; ///< Counted at its engine until the first token.
    Duration sentAt {};
    Duration firstToken {};
    bool hasDeliveredFirstToken = false;
};

}
