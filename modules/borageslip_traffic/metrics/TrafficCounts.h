#pragma once

#include "../placement/ReservationBroker.h"
#include "DurationHistogram.h"
#include <borageslip_scheduling/placement/ServerChoice.h>

namespace borageslip {

/** Counters of the traffic path, for metrics. */
struct TrafficCounts {
    uint64_t requests = 0;
    uint64_t answered = 0;
    uint64_t refused = 0;
    uint64_t failed = 0;
    uint64_t callersDisconnected = 0;
    uint64_t retries = 0;
    uint64_t retriesDenied = 0; ///< Retries that the fleet-wide retry budget did not allow.
    uint64_t confirmations = 0; ///< Refusals that waited for the configuration to be confirmed.
    uint64_t confirmationsMissed = 0; ///< Of these, the ones for which it was not confirmed in time.
    uint64_t rateLimitDenials = 0; ///< Reservations and slots that this instance denied because of the rate limit of a server.
    uint64_t invalidRateLimits = 0; ///< Responses with a rate limit that cannot be applied as it stands.
    uint64_t invalidSlowness = 0; ///< Responses whose figure of their server's speed is not positive.
    uint64_t quarantineRejections = 0; ///< Requests that were not sent because of quarantined prompt parts.
    uint64_t promptTokens = 0; ///< Of requests sent to backend servers.
    uint64_t promptTokensCached = 0; ///< The part of promptTokens that was expected in the prefix cache of the server.
    std::array<uint64_t, choiceReasonCount> placements {}; ///< By ChoiceReason.
    std::array<uint64_t, reservationOutcomeCount> reservationRequests {}; ///< Sent to other instances; by ReservationOutcome.
    uint64_t reservationWaits = 0; ///< Reservation requests that waited at a coordinator for a slot.
    std::array<uint64_t, SlotTicket::outcomeCount> slotRequests {}; ///< Requests for slots from the queue of a service; by SlotTicket::Outcome.
    DurationHistogram durations; ///< From the first byte of a request to its end.
    DurationHistogram waits; ///< Time in the queue, of requests that were queued.
};

}
