#include "PriorityReserve.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr int reserveDivisor = 8; ///< One of this many slots of a server is reserved; a server with fewer slots has no reserve.
    constexpr Duration reserveDuration = std::chrono::seconds(5); ///< After a longer pause, the next urgent request may have to wait for a slot.

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
