#include "ServerChoice.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <vector>

namespace borageslip {

namespace {

    bool isEligible(const ServerCandidate& candidate, double cap)
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

    std::vector<size_t> eligibleCandidates(std::span<const ServerCandidate> candidates, double cap)
    {
        std::vector<size_t> eligible;
        for (size_t i = 0; i < candidates.size(); ++i) {
            if (isEligible(candidates[i], cap))
                eligible.push_back(i);
        }
        const bool hasHealthy = std::any_of(eligible.begin(), eligible.end(), [&](size_t i) { return !candidates[i].isEjected; });
        if (hasHealthy)
            std::erase_if(eligible, [&](size_t i) { return candidates[i].isEjected; });
        return eligible;
    }

    size_t leastLoaded(std::span<const ServerCandidate> candidates, std::span<const size_t> eligible, uint64_t tieBreak)
    {
        const auto key = [&](size_t i) {
            const auto& candidate = candidates[i];
            return std::tuple(candidate.isCold, candidate.inFlight, !candidate.isInOwnDomain, hashPair(tieBreak, candidate.hash));
        };
        return *std::min_element(eligible.begin(), eligible.end(), [&](size_t first, size_t second) { return key(first) < key(second); });
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
    auto eligible = eligibleCandidates(candidates, limits.capFactor * mean + capMargin);
    if (eligible.empty())
        return std::nullopt;
    if (affinity == 0)
        return ServerChoice { leastLoaded(candidates, eligible, tieBreak), ChoiceReason::LeastLoaded };

    std::sort(eligible.begin(), eligible.end(), [&](size_t first, size_t second) {
        return rendezvousScore(affinity, candidates[first].hash) > rendezvousScore(affinity, candidates[second].hash);
    });
    const double bound = limits.affinityFactor * mean + limits.affinityMargin;
    for (const auto i : eligible) {
        const auto& candidate = candidates[i];
        if (!candidate.isCold && candidate.inFlight < bound && candidate.pendingPrefill < limits.pendingPrefill)
            return ServerChoice { i, i == eligible.front() ? ChoiceReason::Affinity : ChoiceReason::Spill };
    }
    return ServerChoice { leastLoaded(candidates, eligible, tieBreak), ChoiceReason::LeastLoaded };
}

}
