#pragma once

#include <borageslip_core/time/Clock.h>

namespace borageslip {

/** The times of a planned stop, and which requests an instance still starts during it.

    A request is started if its deadline passes before the instance gives its last answers, so that it has a final answer
    whatever its backend server does. Requests that had been received when the stop began may be started for some time
    beyond that, because callers had no sign of the stop. Does no I/O: time is passed in. */
class StopSchedule {
public:
    /** @param grace time from the signal until the platform kills the process. */
    StopSchedule(TimePoint begunAt, Duration grace)
        : m_begunAt(begunAt)
        , m_grace(grace)
    {
    }

    TimePoint begunAt() const { return m_begunAt; }

    /** Until when requests that had been received before the stop are started, whatever their deadline. */
    TimePoint startUntil() const { return m_begunAt + m_grace / 3; }

    /** When all requests that are still open get their last answer. Within the last sixth of the grace period. */
    TimePoint answerAt() const { return m_begunAt + m_grace * 11 / 12; }

    /** When the process ends at the latest. Leaves time for a process that gets its signal or the processor late. */
    TimePoint endAt() const { return answerAt() + m_grace / 32; }

    /** Whether a request may be sent to a backend server for the first time now. @param receivedAt when it was complete. */
    bool mayStart(TimePoint receivedAt, TimePoint deadline, TimePoint now) const
    {
        const bool wasReceivedBefore = receivedAt < m_begunAt;
        return deadline <= answerAt() || (wasReceivedBefore && now < startUntil());
    }

private:
    TimePoint m_begunAt;
    Duration m_grace;
};

/** Which open requests a stopping instance ends. */
enum class StopScope {
    Unstarted, ///< Those that no backend server has got and that may not be started any more.
    All,
};

}
