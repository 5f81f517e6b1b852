#include "ServerChoice.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <vector>

namespace borageslip {

namespace {

    bool hasPlace(const ServerCandidate& candidate, double cap)
    {
        const bool hasSlot = candidate.slots == 0 || candidate.inFlight < candidate.slots;
        return !candidate.isExcluded && hasSlot && candidate.inFlight <= cap;
    }

    double meanInFlight(std::span<const ServerCandidate> candidates)
    {
        int total = 0;
        for (const auto& candidate : candidates)
            total += candidate.inFlight;
        return static_cast<double>(total) / static_cast<double>(candidates.size());
    }

    std::vector<size_t> placesAmong(std::span<const ServerCandidate> candidates, double cap)
    {
        std::vector<size_t> places;
        for (size_t i = 0; i < candidates.size(); ++i) {
            if (hasPlace(candidates[i], cap))
                places.push_back(i);
        }
        const bool hasSound = std::any_of(places.begin(), places.end(), [&](size_t i) { return !candidates[i].isEjected; });
        if (hasSound)
            std::erase_if(places, [&](size_t i) { return candidates[i].isEjected; });
        return places;
    }

    size_t leastLoaded(std::span<const ServerCandidate> candidates, std::span<const size_t> places, uint64_t tieBreak)
    {
        const auto key = [&](size_t i) {
            const auto& candidate = candidates[i];
            return std::tuple(candidate.isCold, candidate.inFlight, !candidate.isInOwnDomain, hashPair(tieBreak, candidate.hash));
        };
        return *std::min_element(places.begin(), places.end(), [&](size_t first, size_t second) { return key(first) < key(second); });
    }

}

const char* choiceReasonName(ChoiceReason reason)
{
    static constexpr std::array<const char*, choiceReasonCount> names { "affinity", "spill", "least-loaded" };
    return names.at(static_cast<size_t>(reason));
}

std::optional<ServerChoice> chooseServer(std::span<const ServerCandidate> candidates, uint64_t affinity, uint64_t tieBreak, const ServerChoiceLimits& limits)
{
    if (candidates.empty())
        return std::nullopt;
    const double mean = meanInFlight(candidates);
    auto places = placesAmong(candidates, limits.capFactor * mean + capMargin);
    if (places.empty())
        return std::nullopt;
    if (affinity == 0)
        return ServerChoice { leastLoaded(candidates, places, tieBreak), ChoiceReason::LeastLoaded };

    std::sort(places.begin(), places.end(), [&](size_t first, size_t second) {
        return rendezvousScore(affinity, candidates[first].hash) > rendezvousScore(affinity, candidates[second].hash);
    });
    const double bound = limits.affinityFactor * mean + limits.affinityMargin;
    for (const auto i : places) {
        const auto& candidate = candidates[i];
        if (!candidate.isCold && candidate.inFlight < bound && candidate.pendingPrefill < limits.pendingPrefill)
            return ServerChoice { i, i == places.front() ? ChoiceReason::Affinity : ChoiceReason::Spill };
    }
    return ServerChoice { leastLoaded(candidates, places, tieBreak), ChoiceReason::LeastLoaded };
}

}
