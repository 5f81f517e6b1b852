#pragma once

#include "../errors/Result.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace borageslip {

/** A state chart read from a JSON file in charts/: its states, their flags and the transitions between them.

    Immutable once loaded and shared by all instances that run it.
    Form: {"name": "...", "initial": "...", "states": {"<state>": {"flags": ["..."], "on": {"<event>": "<state>"}}}}.
    A state without transitions is final.
    @see StateChartInstance */
class StateChart {
public:
    /** Errors: InvalidSettings for a malformed chart, an unknown target or a state that cannot be reached. */
    static Result<StateChart> parse(std::string_view json);

    /** Reads `charts/<name>.json`, compiled into the program. The chart must exist and be valid. */
    static const StateChart& named(std::string_view name);

    struct State {
        std::set<std::string, std::less<>> flags;
        std::map<std::string, std::string, std::less<>> transitions;
    };

    const std::string& name() const { return m_name; }
    const std::string& initial() const { return m_initial; }
    const std::map<std::string, State, std::less<>>& states() const { return m_states; }

private:
    std::string m_name;
    std::string m_initial;
    std::map<std::string, State, std::less<>> m_states;
};

/** One run through a StateChart. Not thread-safe: call from its owner. */
class StateChartInstance {
public:
    /** @param chart must outlive the instance. */
    explicit StateChartInstance(const StateChart& chart);

    /** Takes the transition for the event. Errors: Internal when the current state has none; the state is kept. */
    Status fire(std::string_view event);

    bool canFire(std::string_view event) const;
    bool isIn(std::string_view state) const { return m_current == state; }
    bool hasFlag(std::string_view flag) const;
    bool isFinal() const;
    const std::string& current() const { return m_current; }

private:
    const StateChart::State& state() const;

    const StateChart* m_chart;
    std::string m_current;
};

}
