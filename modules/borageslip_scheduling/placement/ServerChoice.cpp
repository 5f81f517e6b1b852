#include "ServerChoice.h"

#include "ServerSlowness.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>
#include <vector>

namespace borageslip {

namespace {

    /** Mean load of a service and the shares of it that its servers should hold. */
    struct ServiceLoad {
        double mean = 0; ///< Requests in flight.
        std::vector<double> shares; ///< By candidate; empty if all are equally fast.

        double share(size_t index) const { return shares.empty() ? 1 : shares[index]; }

        double limit(size_t index, double factor, double margin) const { return loadLimit(share(index), factor, mean, margin); }
    };

    bool isWithinCap(const ServerCandidate& candidate, double cap)
    {
        const bool hasSlot = candidate.slots == 0 || candidate.inFlight < candidate.slots;
        return hasSlot && candidate.inFlight <= cap;
    }

    double meanInFlight(std::span<const ServerCandidate> candidates)
    {
        int total = 0;
        for (const auto& candidate : candidates)
            total += candidate.inFlight;
        return static_cast<double>(total) / static_cast<double>(candidates.size());
    }

    ServiceLoad loadOf(std::span<const ServerCandidate> candidates)
    {
        ServiceLoad load { meanInFlight(candidates), {} };
        // All candidates of nearly all deployments are equally fast.
        const bool isEqual = std::all_of(candidates.begin(), candidates.end(), [&](const auto& candidate) { return candidate.slowness == candidates[0].slowness; });
        if (isEqual)
            return load;
        std::vector<double> factors;
        factors.reserve(candidates.size());
        for (const auto& candidate : candidates)
            factors.push_back(candidate.slowness);
        load.shares = capacityShares(factors);
        return load;
    }

    std::vector<size_t> eligibleCandidates(std::span<const ServerCandidate> candidates, const ServiceLoad& load, const ServerChoiceLimits& limits)
    {
        std::vector<size_t> eligible;
        for (size_t i = 0; i < candidates.size(); ++i) {
            if (!candidates[i].isExcluded && isWithinCap(candidates[i], load.limit(i, limits.capFactor, capMargin)))
                eligible.push_back(i);
        }
        const bool hasHealthy = std::any_of(eligible.begin(), eligible.end(), [&](size_t i) { return !candidates[i].isEjected; });
        if (hasHealthy)
            std::erase_if(eligible, [&](size_t i) { return candidates[i].isEjected; });
        return eligible;
    }

    bool isWithinAffinityLimits(const ServerCandidate& candidate, double limit, const ServerChoiceLimits& limits)
    {
        return candidate.inFlight < limit && candidate.pendingPrefill < limits.pendingPrefill;
    }

    /** Keeps the eligible candidates that come before all others, whatever their loads. */
    void keepBestRank(std::span<const ServerCandidate> candidates, std::vector<size_t>& eligible, const ServiceLoad& load, const ServerChoiceLimits& limits)
    {
        const bool hasLimited = std::any_of(eligible.begin(), eligible.end(), [&](size_t i) { return candidates[i].isLimitedWhileCold; });
        // Cold servers without a limit come last; limited ones come before warm ones that have too much to do.
        const auto rank = [&](size_t i) {
            const auto& candidate = candidates[i];
            if (candidate.isCold)
                return candidate.isLimitedWhileCold ? 1 : 3;
            return hasLimited && !isWithinAffinityLimits(candidate, load.limit(i, limits.affinityFactor, limits.affinityMargin), limits) ? 2 : 0;
        };
        int best = std::numeric_limits<int>::max();
        for (const auto i : eligible)
            best = std::min(best, rank(i));
        std::erase_if(eligible, [&](size_t i) { return rank(i) != best; });
    }

    /** Keeps two of the eligible candidates, drawn with a probability in proportion to their shares. */
    void keepTwo(std::span<const ServerCandidate> candidates, std::vector<size_t>& eligible, const ServiceLoad& load, uint64_t tieBreak)
    {
        if (eligible.size() <= 2)
            return;
        const auto score = [&](size_t i) { return rendezvousScore(tieBreak, candidates[i].hash, load.share(i)); };
        std::nth_element(eligible.begin(), eligible.begin() + 1, eligible.end(), [&](size_t first, size_t second) { return score(first) > score(second); });
        eligible.resize(2);
    }

    size_t leastLoaded(std::span<const ServerCandidate> candidates, std::span<const size_t> eligible, const ServiceLoad& load, uint64_t tieBreak)
    {
        const auto key = [&](size_t i) {
            const auto& candidate = candidates[i];
            return std::tuple(candidate.inFlight / load.share(i), !candidate.isInOwnDomain, hashPair(tieBreak, candidate.hash));
        };
        return *std::min_element(eligible.begin(), eligible.end(), [&](size_t first, size_t second) { return key(first) < key(second); });
    }

    /** The first candidate in the rendezvous order that may take a request because of its affinity. */
    std::optional<ServerChoice> firstInOrder(std::span<const ServerCandidate> candidates, uint64_t affinity, const ServiceLoad& load, const ServerChoiceLimits& limits)
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
        for (bool isFirst = true; !order.empty(); isFirst = false) {
            std::pop_heap(order.begin(), order.end());
            const auto index = order.back().index;
            order.pop_back();
            const auto& candidate = candidates[index];
            if (candidate.isExcluded || candidate.isEjected || candidate.isCold)
                continue;
            const bool isWithinLimits = isWithinCap(candidate, load.limit(index, limits.capFactor, capMargin)) && isWithinAffinityLimits(candidate, load.limit(index, limits.affinityFactor, limits.affinityMargin), limits);
            if (isWithinLimits || candidate.isLoadOutdated)
                return ServerChoice { index, isFirst ? ChoiceReason::Affinity : ChoiceReason::Spill };
        }
        return std::nullopt;
    }

}

LeastLoadedRule leastLoadedRuleFor(Duration loadAge)
{
    constexpr Duration freshLoadAge = std::chrono::milliseconds(100); ///< Few choices of other instances fall into this time.
    return loadAge < freshLoadAge ? LeastLoadedRule::OfAll : LeastLoadedRule::OfTwo;
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
    const auto load = loadOf(candidates);
    auto eligible = eligibleCandidates(candidates, load, limits);
    if (affinity != 0) {
        if (const auto choice = firstInOrder(candidates, affinity, load, limits))
            return choice;
    }
    if (eligible.empty())
        return std::nullopt;
    keepBestRank(candidates, eligible, load, limits);
    if (limits.leastLoadedRule == LeastLoadedRule::OfTwo)
        keepTwo(candidates, eligible, load, tieBreak);
    return ServerChoice { leastLoaded(candidates, eligible, load, tieBreak), ChoiceReason::LeastLoaded };
}

}
