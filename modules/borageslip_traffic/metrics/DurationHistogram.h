#pragma once

#include <borageslip_core/time/Clock.h>

#include <array>
#include <cstdint>

namespace borageslip {

/** Histogram of durations with fixed buckets, for metrics. Not thread-safe. */
class DurationHistogram {
public:
    static constexpr size_t bucketCount = 9;

    /** Upper bound of a bucket in seconds; infinity for the last one. */
    static double upperBound(size_t bucket);

    void record(Duration);

    uint64_t count(size_t bucket) const { return m_counts.at(bucket); }
    Duration sum() const { return m_sum; }

private:
    std::array<uint64_t, bucketCount> m_counts {};
    Duration m_sum {};
};

}
