#pragma once

#include <borageslip_core/time/Clock.h>

#include <optional>

namespace borageslip {

/** Whether a server is cold, from all indications that this instance has of it. Not thread-safe. */
class ColdState {
public:
    /** Records what its store entry says. An entry may be older than what was observed here, so that it ends a suspicion
        only if it arrives some time after the observation. @param left zero if it says that the server is not cold. */
    void recordEntry(Duration left, TimePoint now);

    /** Records what the server said in a response. That it is not cold counts only if the request was sent after the latest
        indication that it is. */
    void recordStatement(Duration left, TimePoint sentAt, TimePoint now);

    /** Assumes that it is cold for a time from now. */
    void assume(Duration, TimePoint now);

    /** Records that it crashed or was unreachable: it is cold until it has answered again for the time that servers are cold
        after their start, or says that it is not. */
    void recordUnreachable(TimePoint now);

    /** Records a response. @param coldTime for which servers are cold after their start. */
    void recordAnswer(Duration coldTime, TimePoint sentAt, TimePoint now);

    bool isCold(TimePoint now) const { return m_unreachableAt || now < m_coldUntil; }

    /** Time for which it is going to be cold, as far as known. */
    Duration timeLeft(TimePoint now) const;

    /** Whether it was unreachable and has not answered since. */
    bool isSuspected() const { return m_unreachableAt.has_value(); }

private:
    void indicate(TimePoint until, TimePoint now);

    TimePoint m_coldUntil {};
    TimePoint m_indicatedAt {}; ///< Latest indication that it is cold.
    std::optional<TimePoint> m_unreachableAt {}; ///< Until it answers again or says that it is not cold.
};

}
