#include "DurationHistogram.h"

#include <limits>

namespace borageslip {

double DurationHistogram::upperBound(size_t bucket)
{
    static constexpr std::array<double, bucketCount - 1> bounds { 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4 };
    return bucket < bounds.size() ? bounds[bucket] : std::numeric_limits<double>::infinity();
}

void DurationHistogram::record(Duration duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    size_t bucket = 0;
    while (seconds > upperBound(bucket))
        ++bucket;
    ++m_counts[bucket];
    m_sum += duration;
}

}
