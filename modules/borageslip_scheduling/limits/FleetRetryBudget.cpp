#include "FleetRetryBudget.h"

#include <algorithm>
#include <cmath>

namespace borageslip {

FleetRetryBudget::FleetRetryBudget(const Limits& limits)
    : m_limits(limits)
{
}

void FleetRetryBudget::dropExpired(TimePoint now)
{
    const auto start = now - m_limits.window;
    while (!m_requests.empty() && m_requests.front() <= start)
        m_requests.pop_front();
    while (!m_retries.empty() && m_retries.front() <= start)
        m_retries.pop_front();
}

void FleetRetryBudget::recordRequest(TimePoint now)
{
    dropExpired(now);
    m_requests.push_back(now);
}

bool FleetRetryBudget::tryRetry(TimePoint now)
{
    dropExpired(now);
    const auto instances = static_cast<double>(std::max(m_instances, minInstances));
    const double allowed = m_limits.ratio * static_cast<double>(m_requests.size()) + std::floor(m_limits.reserve / instances);
    if (static_cast<double>(m_retries.size()) + 1 > allowed)
        return false;
    m_retries.push_back(now);
    return true;
}

}
