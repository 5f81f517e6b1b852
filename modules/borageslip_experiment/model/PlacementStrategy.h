#pragma once

#include <borageslip_core/errors/Result.h>
#include <borageslip_scheduling/placement/ServerChoice.h>

#include <string_view>

namespace borageslip {

/** A named placement policy: the production policy or one to compare it with. */
struct PlacementStrategy {
    using Choice = std::optional<size_t> (*)(std::span<const ServerCandidate>, uint64_t affinity, uint64_t tieBreak, const ServerChoiceLimits&);

    std::string_view name;
    std::string_view description;
    Choice choose = nullptr;
    bool usesCurrentLoads = false; ///< Reads the current loads of all instances instead of their last reports.
    /** What the strategy uses of the speeds and the age of the loads. */
    enum class EvenLoad {
        None, ///< Servers are taken as equally fast, and loads as current.
        Speeds, ///< Shares by the speeds that responses state.
        TwoChoices, ///< The better of two random engines while loads are old.
        Both, ///< As the product does for servers that state their speeds.
    };
    EvenLoad evenLoad = EvenLoad::None;
    bool hasCoordinators = false; ///< Each engine has a coordinator that grants requests and knows the prefixes sent to it.
    bool sharesPrefills = false; ///< Requests wait while their prefix is being prefilled; needs coordinators.

    bool usesSpeeds() const { return evenLoad == EvenLoad::Speeds || evenLoad == EvenLoad::Both; }
    bool usesTwoChoices() const { return evenLoad == EvenLoad::TwoChoices || evenLoad == EvenLoad::Both; }
};

std::span<const PlacementStrategy> placementStrategies();

/** Errors: InvalidSettings for an unknown name; the detail lists the known ones. */
Result<PlacementStrategy> placementStrategy(std::string_view name);

}
