#include "ServerSlowness.h"

#include <algorithm>
#include <cmath>

namespace borageslip {

namespace {

    constexpr int usualPercent = 100;
    constexpr Duration smoothingTime = std::chrono::seconds(2); ///< Several times the slowdown by a neighbour, which ends before most instances learn of it.
    constexpr Duration lifetime = std::chrono::seconds(10); ///< Several report intervals of the largest fleet.

}

bool ServerSlowness::recordOwn(const Statement& statement)
{
    if (statement.percent <= 0)
        return false;
    m_lastOwn = statement;
    smooth(statement);
    return true;
}

void ServerSlowness::recordShared(const Statement& statement)
{
    if (statement.percent > 0)
        smooth(statement);
}

void ServerSlowness::smooth(const Statement& statement)
{
    if (m_observedAt != TimePoint() && statement.observedAt < m_observedAt)
        return;
    const double stated = std::clamp(static_cast<double>(statement.percent) / usualPercent, least, most);
    // The weight grows with the time since the last statement, so that smoothing does not depend on the rate of responses.
    const auto gap = std::chrono::duration<double>(statement.observedAt - m_observedAt);
    const double weight = isKnown(statement.observedAt) ? 1 - std::exp(-gap / std::chrono::duration<double>(smoothingTime)) : 1;
    m_factor += weight * (stated - m_factor);
    m_observedAt = statement.observedAt;
}

bool ServerSlowness::isKnown(TimePoint now) const
{
    return m_observedAt != TimePoint() && now - m_observedAt < lifetime;
}

std::vector<double> capacityShares(std::span<const double> factors)
{
    std::vector<double> shares(factors.size(), 1);
    // Rounding must not distinguish servers that are equally fast.
    const bool isEqual = std::all_of(factors.begin(), factors.end(), [&](double factor) { return factor == factors[0]; });
    if (isEqual)
        return shares;
    double total = 0;
    for (const double factor : factors)
        total += 1 / factor;
    for (size_t i = 0; i < factors.size(); ++i)
        shares[i] = static_cast<double>(factors.size()) / (factors[i] * total);
    return shares;
}

double loadLimit(double share, double factor, double mean, double margin)
{
    return std::min(1.0, share) * factor * mean + margin;
}

}
