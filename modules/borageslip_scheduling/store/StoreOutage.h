#pragma once

#include <borageslip_core/time/Clock.h>

#include <optional>

namespace borageslip {

/** Tells whether the store was away, so that keys may be missing from it whose owners are alive and write them again.

    Rests on the store alone: on calls of this instance to it, and on copies of it that show when it answered another
    instance. That an instance does not answer says nothing about the store. Time is passed in. Not thread-safe. */
class StoreOutage {
public:
    /** Records that a call of this instance to the store failed, or that the store rejected it. */
    void recordFailure(TimePoint now);

    /** Records that the store answered this or another instance. @param answeredAt when it is known to have answered. */
    void recordAnswer(TimePoint answeredAt, TimePoint now);

    /** Records that the store came back from an older copy. */
    void recordRestore(TimePoint now) { m_recoveredAt = now; }

    /** Whether a key that is found missing now may have expired because the store was away. */
    bool isAfterOutage(TimePoint now) const;

private:
    bool isLong(TimePoint now) const;

    std::optional<TimePoint> m_failingSince; ///< The first failure after the last answer.
    std::optional<TimePoint> m_recoveredAt;
};

}
