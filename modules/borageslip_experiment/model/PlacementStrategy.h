#pragma once

#include <borageslip_core/errors/Result.h>
#include <borageslip_traffic/placement/ServerChoice.h>

#include <string_view>

namespace borageslip {

/** A way to choose an engine, by name: that of the product or one to compare it with. */
struct PlacementStrategy {
    using Choice = std::optional<size_t> (*)(std::span<const ServerCandidate>, uint64_t affinity, uint64_t tieBreak);

    std::string_view name;
    std::string_view description;
    Choice choose = nullptr;
    bool usesCurrentLoads = false; ///< Sees the load of all instances at once instead of from their reports.
};

std::span<const PlacementStrategy> placementStrategies();

/** Errors: InvalidSettings for an unknown name; the detail lists the known ones. */
Result<PlacementStrategy> placementStrategy(std::string_view name);

}
