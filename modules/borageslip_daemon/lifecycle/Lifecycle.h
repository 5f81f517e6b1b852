#pragma once

#include <borageslip_core/borageslip_core.h>

#include <mutex>
#include <optional>
#include <string>

namespace borageslip {

/** State machine of one daemon process, defined by charts/daemon.json. Thread-safe.

    A planned stop first removes the instance from the directory, then waits until the directory responses that contained it
    have expired, and then waits for the calls in progress without aborting any (invariant I6). */
class Lifecycle {
public:
    explicit Lifecycle(const Clock&);

    /** Moves from starting to serving; does nothing in other states. */
    void becomeReady();

    /** Begins a planned stop; does nothing if one has already begun.
        @param directoryLifetime time for which callers may use directory responses that they already have. */
    void beginStop(Duration directoryLifetime);

    /** Advances a planned stop; call it regularly.
        @param callsInProgress number of calls that have not ended yet
        @param drainDeadline maximum time to wait for them. */
    void advance(int callsInProgress, Duration drainDeadline);

    /** Returns true if new calls are accepted. */
    bool isAccepting() const;
    bool isListed() const;
    bool isIn(std::string_view state) const;
    std::string state() const;

private:
    void fire(std::string_view event);

    const Clock& m_clock;
    mutable std::mutex m_mutex;
    StateChartInstance m_chart;
    TimePoint m_leavingUntil {};
    TimePoint m_drainingSince {};
};

}
