#include "ColdState.h"

#include <algorithm>

namespace borageslip {

namespace {

    /** An entry that arrives this long after an observation was written after it: a server's entry passes the reader of the
        failure domain and one more instance, each of which is at most two seconds behind. */
    constexpr Duration longestEntryDelay = std::chrono::seconds(4);

}

void ColdState::indicate(TimePoint until, TimePoint now)
{
    m_coldUntil = std::max(m_coldUntil, until);
    m_indicatedAt = now;
}

void ColdState::recordEntry(Duration left, TimePoint now)
{
    if (left > Duration::zero())
        return indicate(now + left, now);
    if (m_unreachableAt && now - *m_unreachableAt >= longestEntryDelay)
        m_unreachableAt.reset();
}

void ColdState::recordStatement(Duration left, TimePoint sentAt, TimePoint now)
{
    if (left > Duration::zero()) {
        // A response to a request from before the crash says nothing of the server's next start.
        if (m_unreachableAt && sentAt > *m_unreachableAt)
            m_unreachableAt.reset();
        return indicate(now + left, now);
    }
    if (sentAt <= m_indicatedAt)
        return;
    m_unreachableAt.reset();
    m_coldUntil = now;
}

void ColdState::assume(Duration time, TimePoint now)
{
    if (time > Duration::zero())
        indicate(now + time, now);
}

void ColdState::recordUnreachable(TimePoint now)
{
    m_unreachableAt = now;
    m_indicatedAt = now;
}

void ColdState::recordAnswer(Duration coldTime, TimePoint sentAt, TimePoint now)
{
    if (!m_unreachableAt || sentAt <= *m_unreachableAt)
        return;
    m_unreachableAt.reset();
    indicate(now + coldTime, now);
}

Duration ColdState::timeLeft(TimePoint now) const
{
    return std::max(Duration::zero(), m_coldUntil - now);
}

}
