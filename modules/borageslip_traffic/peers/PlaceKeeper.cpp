#include "PlaceKeeper.h"

#include "../placement/ServerChoice.h"

#include <borageslip_core/identity/Hash.h>

namespace borageslip {

std::optional<size_t> keeperOf(uint64_t server, std::span<const std::string_view> instances)
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

bool mayGrantPlace(const KeptServer& server, const PlaceTerms& terms, double capFactor)
{
    const auto& use = server.use;
    const bool hasSlot = terms.slots == 0 || use.inFlight < terms.slots;
    const bool hasPrefill = terms.pendingPrefill == 0 || use.pendingPrefill < terms.pendingPrefill;
    return hasSlot && hasPrefill && use.inFlight <= capFactor * server.meanInFlight + capMargin;
}

}
