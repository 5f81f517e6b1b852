#include "PlacementStrategy.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace borageslip {

namespace {

    bool isEligible(const ServerCandidate& candidate)
    {
        return !candidate.isExcluded && !candidate.isEjected && (candidate.slots == 0 || candidate.inFlight < candidate.slots);
    }

    template <typename Key>
    std::optional<size_t> minimumBy(std::span<const ServerCandidate> candidates, Key key)
    {
        std::optional<size_t> best;
        for (size_t i = 0; i < candidates.size(); ++i) {
            if (isEligible(candidates[i]) && (!best || key(candidates[i]) < key(candidates[*best])))
                best = i;
        }
        return best;
    }

    std::optional<size_t> chooseAsProduct(std::span<const ServerCandidate> candidates, uint64_t affinity, uint64_t tieBreak, const ServerChoiceLimits& limits)
    {
        const auto choice = chooseServer(candidates, affinity, tieBreak, limits);
        return choice ? std::optional(choice->index) : std::nullopt;
    }

    std::optional<size_t> chooseAtRandom(std::span<const ServerCandidate> candidates, uint64_t /*affinity*/, uint64_t tieBreak, const ServerChoiceLimits& /*limits*/)
    {
        return minimumBy(candidates, [&](const ServerCandidate& candidate) { return hashPair(tieBreak, candidate.hash); });
    }

    std::optional<size_t> chooseLeastLoaded(std::span<const ServerCandidate> candidates, uint64_t /*affinity*/, uint64_t tieBreak, const ServerChoiceLimits& /*limits*/)
    {
        return minimumBy(candidates, [&](const ServerCandidate& candidate) { return std::pair(candidate.inFlight, hashPair(tieBreak, candidate.hash)); });
    }

    std::optional<size_t> chooseByHash(std::span<const ServerCandidate> candidates, uint64_t affinity, uint64_t tieBreak, const ServerChoiceLimits& /*limits*/)
    {
        const auto key = affinity == 0 ? tieBreak : affinity;
        return minimumBy(candidates, [&](const ServerCandidate& candidate) { return -rendezvousScore(key, candidate.hash); });
    }

    using EvenLoad = PlacementStrategy::EvenLoad;

    constexpr std::array<PlacementStrategy, 10> strategies { {
        { "product", "rendezvous hashing on the prompt prefix with bounded loads, loads and speeds from reports", &chooseAsProduct, false, EvenLoad::Both },
        { "equal-servers", "as product where servers state no speeds: as if they were equally fast and loads were current", &chooseAsProduct },
        { "speeds", "as equal-servers, with shares by the speeds that responses state", &chooseAsProduct, false, EvenLoad::Speeds },
        { "two-choices", "as equal-servers, with the better of two random engines while loads are old", &chooseAsProduct, false, EvenLoad::TwoChoices },
        { "coordinated", "as equal-servers, with reservations granted by a coordinator of each engine", &chooseAsProduct, false, EvenLoad::None, true },
        { "single-flight", "as coordinated; requests wait while their prefix is being prefilled", &chooseAsProduct, false, EvenLoad::None, true, true },
        { "all-knowing", "as equal-servers, with the current loads of all instances", &chooseAsProduct, true },
        { "least-load", "the least loaded engine, loads from reports", &chooseLeastLoaded },
        { "hashing", "rendezvous hashing on the prompt prefix without a load bound", &chooseByHash },
        { "random", "any engine with a free slot", &chooseAtRandom },
    } };

}

std::span<const PlacementStrategy> placementStrategies()
{
    return strategies;
}

Result<PlacementStrategy> placementStrategy(std::string_view name)
{
    const auto* const found = std::find_if(strategies.begin(), strategies.end(), [&](const auto& strategy) { return strategy.name == name; });
    if (found != strategies.end())
        return *found;
    std::string known;
    for (const auto& strategy : strategies)
        known += (known.empty() ? "" : ", ") + std::string(strategy.name);
    return Error { ErrorKind::InvalidSettings, "unknown policy \"" + std::string(name) + "\"; known: " + known };
}

}
