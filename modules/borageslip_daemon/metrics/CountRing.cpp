#include "CountRing.h"

#include <algorithm>
#include <limits>

namespace borageslip {

namespace {

    void addSaturating(uint32_t& cell, uint64_t count)
    {
        constexpr uint64_t largest = std::numeric_limits<uint32_t>::max();
        cell = static_cast<uint32_t>(std::min(largest, cell + std::min(count, largest)));
    }

}

CountRing::CountRing(size_t intervals, std::chrono::seconds interval)
    : m_interval(interval)
    , m_cells(intervals)
{
}

int64_t CountRing::intervalIndex(TimePoint time) const { return time.time_since_epoch() / m_interval; }

void CountRing::add(const ObjectiveCounts& counts, TimePoint now)
{
    const auto size = static_cast<int64_t>(m_cells.size());
    const auto number = intervalIndex(now);
    // Callers read the clock before they acquire the lock, so an event can belong to the interval before the newest one.
    if (number <= m_newest - size)
        return;
    for (auto cleared = std::max(m_newest + 1, number - size + 1); cleared <= number; ++cleared)
        m_cells[static_cast<size_t>(cleared % size)] = {};
    m_newest = std::max(m_newest, number);
    auto& cell = m_cells[static_cast<size_t>(number % size)];
    addSaturating(cell.met, counts.met);
    addSaturating(cell.missed, counts.missed);
}

ObjectiveCounts CountRing::at(int64_t number) const
{
    const auto size = static_cast<int64_t>(m_cells.size());
    if (number < 0 || number > m_newest || number <= m_newest - size)
        return {};
    const auto& cell = m_cells[static_cast<size_t>(number % size)];
    return { cell.met, cell.missed };
}

ObjectiveCounts CountRing::sum(std::chrono::seconds window, TimePoint now) const
{
    ObjectiveCounts total;
    const auto last = intervalIndex(now);
    for (auto number = last - window / m_interval + 1; number <= last; ++number) {
        const auto counts = at(number);
        total.met += counts.met;
        total.missed += counts.missed;
    }
    return total;
}

std::vector<ObjectiveCounts> CountRing::intervals(TimePoint now) const
{
    std::vector<ObjectiveCounts> all;
    const auto last = intervalIndex(now);
    for (auto number = last - static_cast<int64_t>(m_cells.size()) + 1; number <= last; ++number)
        all.push_back(at(number));
    return all;
}

}
