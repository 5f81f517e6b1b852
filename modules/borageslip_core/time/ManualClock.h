#pragma once

#include "Clock.h"

#include <atomic>

namespace borageslip {

/** A clock for tests that moves only when told to. */
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return TimePoint { Duration { m_elapsed.load() } }; }
    std::chrono::system_clock::time_point wallTime() const override
    {
        return std::chrono::system_clock::time_point { std::chrono::duration_cast<std::chrono::system_clock::duration>(Duration { m_elapsed.load() }) };
    }
    void advance(Duration step) { m_elapsed += step.count(); }

private:
    // Starts away from zero, so that code which subtracts from now() stays positive.
    std::atomic<Duration::rep> m_elapsed { std::chrono::duration_cast<Duration>(std::chrono::hours(1)).count() };
};

}
