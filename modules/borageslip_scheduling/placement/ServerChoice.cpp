#include "ServerChoice.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>
#include <array>
#include <tuple>
#include <vector>

namespace borageslip {

namespace {

    bool isWithinCap(const ServerCandidate& candidate, double cap)
    {
        const bool hasSlot = candidate.slots == 0 || candidate.inFlight < candidate.slots;
        return hasSlot && candidate.inFlight <= cap;
    }

    bool isEligible(const ServerCandidate& candidate, double cap)
    {
        return !candidate.isExcluded && isWithinCap(candidate, cap);
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

    bool isWithinAffinityLimits(const ServerCandidate& candidate, double mean, const ServerChoiceLimits& limits)
    {
        return candidate.inFlight < limits.affinityFactor * mean + limits.affinityMargin && candidate.pendingPrefill < limits.pendingPrefill;
    }

    size_t leastLoaded(std::span<const ServerCandidate> candidates, std::span<const size_t> eligible, uint64_t tieBreak, double mean, const ServerChoiceLimits& limits)
    {
        const bool hasLimited = std::any_of(eligible.begin(), eligible.end(), [&](size_t i) { return candidates[i].isLimitedWhileCold; });
        // Cold servers without a limit come last; limited ones come before warm ones that have too much to do.
        const auto rank = [&](const ServerCandidate& candidate) {
            if (candidate.isCold)
                return candidate.isLimitedWhileCold ? 1 : 3;
            return hasLimited && !isWithinAffinityLimits(candidate, mean, limits) ? 2 : 0;
        };
        const auto key = [&](size_t i) {
            const auto& candidate = candidates[i];
            return std::tuple(rank(candidate), candidate.inFlight, !candidate.isInOwnDomain, hashPair(tieBreak, candidate.hash));
        };
        return *std::min_element(eligible.begin(), eligible.end(), [&](size_t first, size_t second) { return key(first) < key(second); });
    }

    /** The first candidate in the rendezvous order that may take a request because of its affinity. */
    std::optional<ServerChoice> firstInOrder(std::span<const ServerCandidate> candidates, uint64_t affinity, double mean, const ServerChoiceLimits& limits)
    {
        struct Ranked {
            double score;
            size_t index;
            bool operator<(const Ranked& other) const { return score < other.score; }
        };
        std::vector<Ranked> order;
        order.reserve(candidates.size());
        for (size_t i = 0; i < candidates.size(); ++i)
            order.push_back({ rendezvousScore(affinity, candidates[i].hash), i });
        // A heap, because the first few candidates decide nearly always.
        std::make_heap(order.begin(), order.end());
        const double cap = limits.capFactor * mean + capMargin;
        for (bool isFirst = true; !order.empty(); isFirst = false) {
            std::pop_heap(order.begin(), order.end());
            const auto index = order.back().index;
            order.pop_back();
            const auto& candidate = candidates[index];
            if (candidate.isExcluded || candidate.isEjected || candidate.isCold)
                continue;
            const bool isWithinLimits = isWithinCap(candidate, cap) && isWithinAffinityLimits(candidate, mean, limits);
            if (isWithinLimits || candidate.isLoadOutdated)
                return ServerChoice { index, isFirst ? ChoiceReason::Affinity : ChoiceReason::Spill };
        }
        return std::nullopt;
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
    const auto eligible = eligibleCandidates(candidates, limits.capFactor * mean + capMargin);
    if (affinity != 0) {
        if (const auto choice = firstInOrder(candidates, affinity, mean, limits))
            return choice;
    }
    if (eligible.empty())
        return std::nullopt;
    return ServerChoice { leastLoaded(candidates, eligible, tieBreak, mean, limits), ChoiceReason::LeastLoaded };
}

}
