#include "PriorityReserve.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr int reserveDivisor = 8; ///< Of a server's places; a server with fewer places than this keeps none.
    constexpr Duration reserveDuration = std::chrono::seconds(5); ///< Urgent work that pauses for longer has to wait once.

}

void PriorityReserve::recordArrival(RequestPriority priority, TimePoint now)
{
    m_lastArrivals[priority] = now;
}

bool PriorityReserve::appliesTo(RequestPriority priority, TimePoint now) const
{
    return std::any_of(m_lastArrivals.begin(), m_lastArrivals.lower_bound(priority), [now](const auto& entry) { return now - entry.second < reserveDuration; });
}

int PriorityReserve::unreservedSlots(int slots)
{
    return slots - slots / reserveDivisor;
}

}
