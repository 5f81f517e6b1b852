#include "ReservationCoordinator.h"

#include "../placement/ServerChoice.h"
#include "ServerSlowness.h"

#include <borageslip_core/identity/Hash.h>

namespace borageslip {

std::optional<size_t> coordinatorOf(uint64_t server, std::span<const std::string_view> instances)
{
    std::optional<size_t> best;
    uint64_t bestScore = 0;
    for (size_t i = 0; i < instances.size(); ++i) {
        const auto score = hashPair(server, hashBytes(instances[i]));
        if (!best || score > bestScore) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

bool canGrantReservation(const ReservationContext& server, const ReservationLimits& limits, double capFactor)
{
    const auto& usage = server.usage;
    const bool hasSlot = limits.slots == 0 || usage.inFlight < limits.slots;
    const bool hasPrefill = limits.pendingPrefill == 0 || usage.pendingPrefill < limits.pendingPrefill;
    return hasSlot && hasPrefill && usage.inFlight <= loadLimit(server.capacityShare, capFactor, server.meanInFlight, capMargin);
}

}
