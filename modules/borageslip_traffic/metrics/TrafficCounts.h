#pragma once

#include "../placement/PlaceBroker.h"
#include "../placement/ServerChoice.h"
#include "DurationHistogram.h"

namespace borageslip {

/** What the traffic path did, for metrics. */
struct TrafficCounts {
    uint64_t requests = 0;
    uint64_t answered = 0;
    uint64_t refused = 0;
    uint64_t failed = 0;
    uint64_t callersDisconnected = 0;
    uint64_t retries = 0;
    uint64_t retriesDenied = 0; ///< Repeats that the shared budget did not allow.
    uint64_t promptTokens = 0; ///< Of requests sent to a backend server.
    uint64_t promptTokensCached = 0; ///< Of these, the ones expected to be cached there.
    std::array<uint64_t, choiceReasonCount> placements {}; ///< By ChoiceReason.
    std::array<uint64_t, placeOutcomeCount> reservationRequests {}; ///< To other instances, by PlaceOutcome.
    DurationHistogram durations; ///< From a request's first byte to its end.
    DurationHistogram waits; ///< For a place, of requests that had to wait.
};

}
