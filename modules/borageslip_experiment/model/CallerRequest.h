#pragma once

#include "../pattern/LoadPattern.h"

#include <borageslip_scheduling/limits/RequestQueue.h>

#include <cstdint>
#include <vector>

namespace borageslip {

/** A simulated request, including the further calls that its caller makes after a rejection. */
struct CallerRequest {
    enum class State {
        Outside, ///< Not at an instance: has not arrived yet, or its caller waits to retry after a rejection.
        Queued,
        AwaitingPrefix, ///< Granted, but not sent while its prefix is being prefilled.
        AtEngine,
        Ended,
    };

    RequestPriority requestPriority() const { return { requestClass->accountPriority, requestClass->priority }; }

    uint64_t id = 0;
    const PatternClass* requestClass = nullptr;
    uint64_t prefix = 0;
    int64_t promptTokens = 0;
    int64_t outputTokens = 0;
    Duration firstArrival {}; ///< Since the start of the run.
    Duration arrival {}; ///< Of the current call, since the start of the run.
    Duration deadline {};
    bool retriesImmediately = false;
    int callCount = 0; ///< First call and retries by the caller.

    State state = State::Outside;
    size_t instance = 0;
    size_t engine = 0;
    int sendCount = 0;
    std::vector<uint64_t> triedEngines; ///< Hashes of the engines tried during the current call.
    std::vector<size_t> deniedEngines; ///< Whose coordinators have denied the request in the current attempt to place it.
    bool prefillsPrefix = false; ///< Whether other requests may wait for it.
    bool wasSubmitted = false; ///< To any engine.
    int64_t pendingPrefill = 0; ///< Prompt tokens that the instance counts as pending at the engine until the first token.
    int denials = 0; ///< By coordinators in the current placement.
    Duration sentAt {};
    Duration firstToken {};
    bool hasDeliveredFirstToken = false;
};

}
