#pragma once

#include <array>
#include <borageslip_core/time/Clock.h>
#include <cstdint>
#include <optional>

namespace borageslip {

/** Histogram that estimates latency quantiles over the current and the previous window. Covers 1 ms to 1,000 s with a
    relative error of at most 10%, in constant memory. */
class LatencyTracker {
public:
    explicit LatencyTracker(Duration window = std::chrono::seconds(10))
        : m_window(window)
    {
    }

    void record(Duration latency, TimePoint now);

    /** Returns the latency at a quantile from 0 to 1, or nothing if there are fewer than `minimumSamples` samples. */
    std::optional<Duration> quantile(double, TimePoint now, uint32_t minimumSamples = 1);

    uint32_t samples(TimePoint now);
    void clear();

private:
    static constexpr int bucketsPerOctave = 8;
    static constexpr size_t bucketCount = 20 * bucketsPerOctave;
    struct Window {
        std::array<uint16_t, bucketCount> counts {};
        uint32_t total = 0;
    };

    void advance(TimePoint now);

    Duration m_window;
    TimePoint m_windowStart {};
    Window m_current;
    Window m_previous;
};

}
