#pragma once

#include "InstanceScrape.h"
#include "MergedHistogram.h"

#include <map>
#include <optional>

namespace borageslip {

/** Events of a window over all instances. */
struct WindowCounts {
    uint64_t met = 0;
    uint64_t missed = 0;

    uint64_t total() const { return met + missed; }
};

/** Missed events that have one thing in common. */
struct BurnCause {
    std::string name;
    uint64_t fast = 0;
    uint64_t slow = 0;
};

/** One objective over the whole fleet. */
struct ObjectiveRow {
    nlohmann::json definition; ///< Name, service, account, priority, times and target as the routers gave them.
    std::string name;
    double target = 0;
    WindowCounts fast;
    WindowCounts slow;
    WindowCounts budget;
    std::vector<WindowCounts> intervals; ///< Of the slow window, the oldest first.
    std::vector<BurnCause> kinds;
    std::vector<BurnCause> accounts;
    std::vector<BurnCause> engines;

    /** Rate at which the error budget is used: 1 uses it up exactly over its period. Nothing without events. */
    std::optional<double> burnRate(const WindowCounts&) const;
    /** Share of the error budget left; negative when overspent. Nothing without events. */
    std::optional<double> budgetLeft() const;
    /** What the objective covers, in words. */
    std::string scope() const;
};

/** The objectives of the fleet, merged from the answers of its routers. */
struct ObjectiveReport {
    static constexpr size_t maxCauses = 10;

    std::vector<ObjectiveRow> objectives;
    std::vector<std::pair<std::string, std::string>> failures; ///< Address and reason of each router left out.
    size_t instances = 0; ///< Routers merged.
    std::chrono::seconds longestUptime {};
    std::chrono::seconds interval { 30 };
    MergedHistogram firstToken;
    MergedHistogram betweenTokens;

    /** Merges the answers. A router whose answer is malformed or has other bucket boundaries is left out whole. */
    static ObjectiveReport merge(std::span<const InstanceScrape>);

    nlohmann::json toJson() const;
};

}
