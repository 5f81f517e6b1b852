#pragma once

#include "CountRing.h"

#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace borageslip {

/** A service-level objective: a share of events that must succeed within a time. */
struct Objective {
    std::string name;
    std::optional<std::string> service; ///< A plain service, or "chat"; without a value see appliesTo.
    std::optional<AccountId> account;
    std::optional<int> priority;
    std::optional<std::chrono::milliseconds> firstToken; ///< For a plain service, the time to its whole answer.
    std::optional<std::chrono::milliseconds> betweenTokens;
    double target = 0.95;

    bool operator==(const Objective&) const = default;
};

/** The objectives in force when none are configured. */
std::vector<Objective> defaultObjectives();

/** Whose call it is. */
struct ObjectiveCaller {
    std::string service; ///< "chat" or the name of the plain service.
    AccountId account;
    int priority = 5;
};

/** Whether the caller's events count for the objective.
    An objective with a time for tokens and without a service counts chats only. */
bool appliesTo(const Objective&, const ObjectiveCaller&);

/** Whether a failure counts against an objective; errors of the caller and its own rate limit do not. */
bool isCountedFailure(ErrorKind);

/** Events of one call that are added to one objective at once. */
struct ObjectiveEvents {
    const ObjectiveCaller& caller;
    const std::string& engine; ///< Empty when no engine was chosen.
    ObjectiveCounts counts;
    std::string_view cause; ///< Why the missed events missed: the name of an error kind, or "slow".
};

/** Counts the events of each objective over windows of time, and what the missed ones have in common. Thread-safe.

    Memory: 7 KB for each objective with events, and 1 KB for each cause with missed events, of which at most
    `maxCauses` are kept over all objectives. Causes beyond that are counted under "other".
    @see ObjectiveMeter */
class ObjectiveTracker {
public:
    using Objectives = std::shared_ptr<const std::vector<Objective>>;

    static constexpr std::chrono::seconds fastWindow { std::chrono::minutes(5) };
    static constexpr std::chrono::seconds slowWindow { std::chrono::hours(1) };
    static constexpr std::chrono::seconds interval { 30 };
    // The usual period of an error budget. An instance holds only the part since its start.
    static constexpr std::chrono::seconds budgetWindow { std::chrono::hours(24 * 30) };
    static constexpr size_t maxCauses = 8192;

    explicit ObjectiveTracker(TimePoint startedAt);

    /** Replaces the objectives. Counts of those that stay the same are kept. An empty list sets the defaults. */
    void setObjectives(std::vector<Objective>);

    Objectives objectives() const;

    /** Adds events to `(*objectives)[index]`; does nothing when these objectives are no longer in force. */
    void add(const Objectives&, size_t index, const ObjectiveEvents&, TimePoint now);

    /** Returns the body of `/operator/objectives`. */
    nlohmann::json describe(TimePoint now) const;

    /** Number of causes held. */
    size_t causes() const;

private:
    using Causes = std::unordered_map<std::string, CountRing>;

    struct Series {
        CountRing recent { static_cast<size_t>(slowWindow / interval), interval };
        CountRing budget { static_cast<size_t>(budgetWindow / std::chrono::hours(1)), std::chrono::hours(1) };
        Causes kinds;
        Causes accounts;
        Causes engines;
    };

    void addCause(Causes&, const std::string& name, uint64_t missed, TimePoint now);
    void removeIdleCauses(TimePoint now);

    const TimePoint m_startedAt;
    mutable std::mutex m_mutex;
    Objectives m_objectives;
    std::vector<std::unique_ptr<Series>> m_series; ///< As m_objectives; null without events.
    size_t m_causes = 0;
    TimePoint m_nextCauseCleanup {};
};

}
