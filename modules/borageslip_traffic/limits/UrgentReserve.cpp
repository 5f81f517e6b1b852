#include "UrgentReserve.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr int reserveDivisor = 8; ///< Of a server's places; a server with fewer places than this keeps none.
    constexpr Duration memory = std::chrono::seconds(5); ///< Urgent work that pauses for longer has to wait once.

}

void UrgentReserve::recordArrival(Urgency urgency, TimePoint now)
{
    m_lastArrivals[urgency] = now;
}

bool UrgentReserve::isKeptFrom(Urgency urgency, TimePoint now) const
{
    return std::any_of(m_lastArrivals.begin(), m_lastArrivals.lower_bound(urgency), [now](const auto& entry) { return now - entry.second < memory; });
}

int UrgentReserve::openSlots(int slots)
{
    return slots - slots / reserveDivisor;
}

}
