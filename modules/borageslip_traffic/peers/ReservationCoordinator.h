#pragma once

#include "ReservationMessages.h"

#include <optional>
#include <span>
#include <string_view>

namespace borageslip {

/** The instance that keeps the places of a server: the first in rendezvous order. All instances that list the same ones
    agree without a message, and a server changes its keeper only when that one comes or goes.
    @param instances names; the order does not matter.
    @return the position in `instances`; nothing when there is none. */
std::optional<size_t> coordinatorOf(uint64_t server, std::span<const std::string_view> instances);

/** What the keeper knows of a server when it is asked for a place there. */
struct ReservationContext {
    ServerUsage usage; ///< Of all instances, the place asked for not included.
    double meanInFlight = 0; ///< Of the service's servers.
};

/** Whether a place may be granted: the server is within the cap on skew and within the terms. Pure.
    @param capFactor of the cap on skew, times the mean. */
bool canGrantReservation(const ReservationContext&, const ReservationLimits&, double capFactor);

}
