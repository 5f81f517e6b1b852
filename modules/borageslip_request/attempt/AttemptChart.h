#pragma once

#include <borageslip_core/errors/Result.h>
#include <borageslip_core/state/StateChart.h>

#include <span>
#include <string_view>

namespace borageslip {

/** Events of the attempt state chart (charts/attempt.json). */
enum class AttemptEvent {
    Claim,
    Send,
    Refuse,
    NotRun, ///< The connection failed, or the backend server reported that it did not run the request.
    Event,
    Lose,
    Finish,
    Fail,
    GiveUp,
};

/** Returns the event's name in the chart. */
std::string_view attemptEventName(AttemptEvent);

/** Returns all events in the order of the enumeration. */
std::span<const AttemptEvent> attemptEvents();

/** The state of one attempt to run a request, following charts/attempt.json. Not thread-safe.

    Determines whether an error may report the request as not run (invariant I3). */
class Attempt {
public:
    Attempt();

    /** Errors: Internal when the chart has no such transition; the state is kept. */
    Status fire(AttemptEvent);

    bool canFire(AttemptEvent event) const { return m_instance.canFire(attemptEventName(event)); }
    bool mayHaveRun() const { return m_instance.hasFlag("may-have-run"); }
    bool isFinal() const { return m_instance.isFinal(); }
    const std::string& state() const { return m_instance.current(); }

    /** Returns the error to report to the caller. An error that reports "not run" while the attempt may have run violates
        I3 and is replaced by OutcomeUnknown. */
    Error checkedError(Error) const;

private:
    StateChartInstance m_instance;
};

}
