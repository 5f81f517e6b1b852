#pragma once

#include "ServerUsage.h"

#include <optional>
#include <span>
#include <string_view>

namespace borageslip {

/** Selects the coordinator of a server, the instance that grants reservations for it, by rendezvous hashing. Instances
    that know the same set of instances agree without messages, and the coordinator of a server changes only when that
    instance leaves or an instance that ranks higher joins.
    @param server hash of the server's id.
    @param instances names, in any order.
    @return position in `instances`; nothing when it is empty. */
std::optional<size_t> coordinatorOf(uint64_t server, std::span<const std::string_view> instances);

/** The coordinator's view of a server when it decides on a reservation. */
struct ReservationContext {
    ServerUsage usage; ///< Total of all instances, without the requested reservation.
    double meanInFlight = 0; ///< Mean requests in flight over the servers of the service.
    double capacityShare = 1; ///< Share of the work that the server should hold, relative to one of mean speed.
};

/** Whether a reservation may be granted: the server is within the load cap of the server choice and within the limits
    of the request. A pure function.
    @param capFactor load cap as a multiple of the mean requests in flight.
    @see ServerChoiceLimits */
bool canGrantReservation(const ReservationContext&, const ReservationLimits&, double capFactor);

}
