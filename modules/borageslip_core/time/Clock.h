#pragma once

#include <chrono>

namespace borageslip {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/** Source of time. Passed in wherever a decision depends on time, so that tests can use a ManualClock.
    Thread-safe.
    @see SystemClock, ManualClock */
class Clock {
public:
    virtual ~Clock() = default;

    /** Monotonic time, for intervals and deadlines. */
    virtual TimePoint now() const = 0;

    /** Calendar time, for logs, records and expiry dates that leave the process. */
    virtual std::chrono::system_clock::time_point wallTime() const = 0;
};

}
