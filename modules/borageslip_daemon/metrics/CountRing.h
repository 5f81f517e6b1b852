#pragma once

#include <borageslip_core/borageslip_core.h>
#include <cstdint>
#include <vector>

namespace borageslip {

/** Numbers of events that met and missed an objective. */
struct ObjectiveCounts {
    uint64_t met = 0;
    uint64_t missed = 0;

    bool operator==(const ObjectiveCounts&) const = default;
    uint64_t total() const { return met + missed; }
};

/** Ring buffer with the event counts of a fixed number of intervals; the oldest are overwritten. Not thread-safe.

    Uses 8 bytes per interval. Counts saturate at the largest 32-bit value. */
class CountRing {
public:
    CountRing(size_t intervals, std::chrono::seconds interval);

    void add(const ObjectiveCounts&, TimePoint now);

    /** Returns the sum over the intervals that began within the window, the current one included. */
    ObjectiveCounts sum(std::chrono::seconds window, TimePoint now) const;
    ObjectiveCounts sum(TimePoint now) const { return sum(m_interval * static_cast<int64_t>(m_cells.size()), now); }

    /** Returns the counts of all intervals, oldest first. */
    std::vector<ObjectiveCounts> intervals(TimePoint now) const;

private:
    struct Cell {
        uint32_t met = 0;
        uint32_t missed = 0;
    };

    int64_t intervalIndex(TimePoint) const;
    ObjectiveCounts at(int64_t number) const;

    std::chrono::seconds m_interval;
    std::vector<Cell> m_cells;
    int64_t m_newest = 0;
};

}
