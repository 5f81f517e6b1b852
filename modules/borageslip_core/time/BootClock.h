#pragma once

#include "Clock.h"

#include <ctime>

namespace borageslip {

/** A monotonic clock that goes on while the instance is suspended. Knowledge that expires (keys, leases) is aged by it:
    std::chrono::steady_clock does not count a suspension, so that old knowledge would look fresh after one. */
class BootClock final : public Clock {
public:
    TimePoint now() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint { std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec) };
    }

    std::chrono::system_clock::time_point wallTime() const override { return std::chrono::system_clock::now(); }
};

}
