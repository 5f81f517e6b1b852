#pragma once

#include "../placement/ReservationBroker.h"
#include "DurationHistogram.h"
#include <borageslip_scheduling/placement/ServerChoice.h>
#include <borageslip_scheduling/placement/ServerMemory.h>

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
    uint64_t confirmations = 0; ///< Requests that waited for the configuration to be confirmed, which lacks their route or key.
    uint64_t confirmationsMissed = 0; ///< Of these, the ones for which it was not confirmed in time.
    uint64_t rateLimitDenials = 0; ///< Reservations and slots that this instance denied because of the rate limit of a server.
    uint64_t invalidRateLimits = 0; ///< Responses with a rate limit that cannot be applied as it stands.
    uint64_t invalidSlowness = 0; ///< Responses whose figure of their server's speed is not positive.
    std::array<uint64_t, reservationOutcomeCount> coldPermitRequests {}; ///< Permits for cold servers requested from other instances; by ReservationOutcome.
    uint64_t coldPermitsIssued = 0; ///< Permits for cold servers issued from the shares of this instance.
    uint64_t coldSendsWithheld = 0; ///< Requests not written to a cold server for want of a valid permit.
    uint64_t memoryRejections = 0; ///< Requests larger than the memory that a server has for one request.
    std::array<uint64_t, memoryDecisionCount> memoryDecisions {}; ///< Of this instance as a coordinator; by MemoryDecision.
    uint64_t memoryUnanswered = 0; ///< Requests not sent to a server because its coordinator did not reply.
    uint64_t quarantineRejections = 0; ///< Requests that were not sent because of quarantined prompt parts.
    uint64_t evacuationAbandons = 0; ///< Attempts given up before the request was written, because their server was evacuated.
    uint64_t evacuationRejections = 0; ///< Requests rejected because all servers of their service are evacuated.
    uint64_t promptTokens = 0; ///< Of requests sent to backend servers.
    uint64_t promptTokensCached = 0; ///< The part of promptTokens that was expected in the prefix cache of the server.
    std::array<uint64_t, choiceReasonCount> placements {}; ///< By ChoiceReason.
    std::array<uint64_t, reservationOutcomeCount> reservationRequests {}; ///< Sent to other instances; by ReservationOutcome.
    uint64_t reservationWaits = 0; ///< Reservation requests that waited at a coordinator for a slot.
    uint64_t prefixWaits = 0; ///< Granted requests that waited while another one prefilled their prefix.
    uint64_t prefixWaitsExpired = 0; ///< Of these, the ones that were sent without news of the prefill.
    uint64_t prefillsFailed = 0; ///< Prefills of shared prefixes that this coordinator was told had failed.
    std::array<uint64_t, SlotTicket::outcomeCount> slotRequests {}; ///< Requests for slots from the queue of a service; by SlotTicket::Outcome.
    DurationHistogram durations; ///< From the first byte of a request to its end.
    DurationHistogram waits; ///< Time in the queue, of requests that were queued.
};

}
