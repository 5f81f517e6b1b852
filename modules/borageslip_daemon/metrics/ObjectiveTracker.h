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

/** Service-level objective: the share of events that must succeed within a time limit. */
struct Objective {
    std::string name;
    std::optional<std::string> service; ///< Name of a plain service, or "chat". See appliesTo() for objectives without one.
    std::optional<AccountId> account;
    std::optional<int> priority;
    std::optional<std::chrono::milliseconds> firstToken; ///< For a plain service, the time to the complete response.
    std::optional<std::chrono::milliseconds> betweenTokens;
    double target = 0.95;

    bool operator==(const Objective&) const = default;
};

/** Returns the objectives that apply if none are configured. */
std::vector<Objective> defaultObjectives();

/** Service, account and priority of a call, which select its objectives. */
struct ObjectiveCaller {
    std::string service; ///< "chat" or the name of the plain service.
    AccountId account;
    int priority = 5;
};

/** Returns true if the caller's events count for the objective.
    An objective with a token time limit and without a service counts chats only. */
bool appliesTo(const Objective&, const ObjectiveCaller&);

/** Returns true if a failure counts against an objective. Errors of the caller and rejections by its own rate limit do not. */
bool isCountedFailure(ErrorKind);

/** Events of one call to be added to one objective in one step. */
struct ObjectiveEvents {
    const ObjectiveCaller& caller;
    const std::string& engine; ///< Empty if no engine was selected.
    ObjectiveCounts counts;
    std::string_view cause; ///< Cause of the missed events: the name of an error kind, or "slow".
};

/** Counts the events of each objective over time windows, and the missed events also by error kind, account and engine
    ("causes"). Thread-safe.

    Memory: 7 KB for each objective with events and 1 KB for each cause with missed events. At most `maxCauses` causes are
    kept over all objectives; further ones are counted under "other".
    @see ObjectiveMeter */
class ObjectiveTracker {
public:
    using Objectives = std::shared_ptr<const std::vector<Objective>>;

    static constexpr std::chrono::seconds fastWindow { std::chrono::minutes(5) };
    static constexpr std::chrono::seconds slowWindow { std::chrono::hours(1) };
    static constexpr std::chrono::seconds interval { 30 };
    // Usual period of an error budget. An instance only has the counts since its own start.
    static constexpr std::chrono::seconds budgetWindow { std::chrono::hours(24 * 30) };
    static constexpr size_t maxCauses = 8192;

    explicit ObjectiveTracker(TimePoint startedAt);

    /** Replaces the objectives and keeps the counts of unchanged ones. An empty list sets the default objectives. */
    void setObjectives(std::vector<Objective>);

    Objectives objectives() const;

    /** Adds events to `(*objectives)[index]`. Does nothing if these objectives have been replaced. */
    void add(const Objectives&, size_t index, const ObjectiveEvents&, TimePoint now);

    /** Returns the response body of `/operator/objectives`. */
    nlohmann::json describe(TimePoint now) const;

    /** Returns the number of causes that are currently kept. */
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
    std::vector<std::unique_ptr<Series>> m_series; ///< Same order as m_objectives; null for objectives without events.
    size_t m_causes = 0;
    TimePoint m_nextCauseCleanup {};
};

}
