#pragma once

#include "InstanceScrape.h"
#include "MergedHistogram.h"

#include <map>
#include <optional>

namespace borageslip {

/** Events within a time window that met or missed an objective, summed over the routers. */
struct WindowCounts {
    uint64_t met = 0;
    uint64_t missed = 0;

    uint64_t total() const { return met + missed; }
};

/** Missed events that share an error kind, an account or an engine. */
struct BurnCause {
    std::string name;
    uint64_t fast = 0; ///< Missed events in the fast window.
    uint64_t slow = 0; ///< Missed events in the slow window.
};

/** One objective, merged over the fleet. */
struct ObjectiveRow {
    nlohmann::json definition; ///< Name, service, account, priority, time limits and target, as the routers reported them.
    std::string name;
    double target = 0; ///< Share of events that should meet the objective, 0 to 1.
    WindowCounts fast; ///< Last 5 min.
    WindowCounts slow; ///< Last 1 h.
    WindowCounts budget; ///< Period of the error budget.
    std::vector<WindowCounts> intervals; ///< Intervals of the slow window, oldest first.
    std::vector<BurnCause> kinds; ///< By error kind; like accounts and engines, most missed events in the slow window first.
    std::vector<BurnCause> accounts;
    std::vector<BurnCause> engines;

    /** Returns the burn rate of the error budget; at 1 the budget is used up exactly at the end of its period.
        Returns nullopt without events. */
    std::optional<double> burnRate(const WindowCounts&) const;
    /** Returns the share of the error budget left; negative if it is overspent, nullopt without events. */
    std::optional<double> budgetLeft() const;
    /** Returns the service, account and priority that the objective covers as text, or "all". */
    std::string scope() const;
};

/** Service-level report of the fleet, merged from its routers. */
struct ObjectiveReport {
    static constexpr size_t maxCauses = 10; ///< Limit for each of kinds, accounts and engines of an objective.

    std::vector<ObjectiveRow> objectives;
    std::vector<std::pair<std::string, std::string>> failures; ///< Address and reason of each excluded router.
    size_t instances = 0; ///< Number of merged routers.
    std::chrono::seconds longestUptime {};
    std::chrono::seconds interval { 30 }; ///< Length of one of ObjectiveRow::intervals.
    MergedHistogram firstToken; ///< Time to the first token.
    MergedHistogram betweenTokens; ///< Time between tokens.

    /** Merges the scrapes. A router is excluded entirely if its scrape failed, is malformed or has bucket boundaries that
        differ from those merged before it. */
    static ObjectiveReport merge(std::span<const InstanceScrape>);

    nlohmann::json toJson() const;
};

}
