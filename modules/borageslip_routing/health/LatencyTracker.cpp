#include "LatencyTracker.h"

#include <algorithm>
#include <cmath>

namespace borageslip {

void LatencyTracker::record(Duration latency, TimePoint now)
{
    advance(now);
    const double milliseconds = std::max(1.0, std::chrono::duration<double, std::milli>(latency).count());
    const auto bucket = std::min(bucketCount - 1, static_cast<size_t>(std::log2(milliseconds) * bucketsPerOctave));
    auto& count = m_current.counts.at(bucket);
    // A bucket saturates at the largest count for the rest of the window, which shifts the quantiles only slightly.
    if (count == UINT16_MAX)
        return;
    ++count;
    ++m_current.total;
}

std::optional<Duration> LatencyTracker::quantile(double quantile, TimePoint now, uint32_t minimumSamples)
{
    advance(now);
    const uint32_t total = m_current.total + m_previous.total;
    if (total == 0 || total < minimumSamples)
        return std::nullopt;
    const double wanted = std::max(1.0, std::ceil(quantile * total));
    double seen = 0;
    for (size_t i = 0; i < bucketCount; ++i) {
        seen += m_current.counts.at(i) + m_previous.counts.at(i);
        if (seen >= wanted) {
            const double milliseconds = std::exp2((static_cast<double>(i) + 0.5) / bucketsPerOctave);
            return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
        }
    }
    return std::nullopt;
}

uint32_t LatencyTracker::samples(TimePoint now)
{
    advance(now);
    return m_current.total + m_previous.total;
}

void LatencyTracker::clear()
{
    m_current = {};
    m_previous = {};
}

void LatencyTracker::advance(TimePoint now)
{
    if (now - m_windowStart < m_window)
        return;
    m_previous = now - m_windowStart < 2 * m_window ? m_current : Window {};
    m_current = {};
    m_windowStart = now;
}

}
