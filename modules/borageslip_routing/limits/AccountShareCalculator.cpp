#include "AccountShareCalculator.h"

#include <algorithm>

namespace borageslip {

void AccountShareCalculator::setMembers(std::span<const MemberId> members)
{
    std::vector<Demand> demands;
    demands.reserve(members.size());
    for (const auto& member : members) {
        const auto known = std::find_if(m_demands.begin(), m_demands.end(), [&](const Demand& demand) { return demand.member == member; });
        demands.push_back(known == m_demands.end() ? Demand { member } : *known);
    }
    m_demands = std::move(demands);
}

void AccountShareCalculator::report(const MemberId& member, double demandRate, TimePoint now)
{
    const auto found = std::find_if(m_demands.begin(), m_demands.end(), [&](const Demand& demand) { return demand.member == member; });
    if (found != m_demands.end())
        *found = { member, std::max(0.0, demandRate), now, true };
}

bool AccountShareCalculator::isReportOverdue(const Demand& demand, TimePoint now) const
{
    // Instances without demand send no reports, so a report is overdue only if the last one showed demand.
    const auto silence = now - demand.reportedAt;
    return demand.isReported && demand.rate > 0 && silence > m_settings.reportLifetime && silence <= m_settings.idleTimeout;
}

std::vector<AccountShareCalculator::Share> AccountShareCalculator::shares(TimePoint now) const
{
    struct Unsatisfied {
        size_t index;
        double requested;
    };
    std::vector<Share> result;
    std::vector<Unsatisfied> unsatisfied;
    result.reserve(m_demands.size());
    double remaining = 1;
    const double even = 1.0 / static_cast<double>(std::max<size_t>(m_demands.size(), 1));
    for (const auto& demand : m_demands) {
        const bool isKnown = !isReportOverdue(demand, now);
        result.push_back({ demand.member, isKnown ? even * m_settings.idleFraction : even });
        remaining -= result.back().share;
        if (isKnown)
            unsatisfied.push_back({ result.size() - 1, std::max(0.0, currentRate(demand, now) / std::max(m_settings.fleetRate, 1e-9) - result.back().share) });
    }
    if (unsatisfied.empty())
        return result;
    std::sort(unsatisfied.begin(), unsatisfied.end(), [](const Unsatisfied& first, const Unsatisfied& second) { return first.requested < second.requested; });
    for (size_t i = 0; i < unsatisfied.size(); ++i) {
        const double granted = std::min(unsatisfied[i].requested, remaining / static_cast<double>(unsatisfied.size() - i));
        result[unsatisfied[i].index].share += granted;
        remaining -= granted;
    }
    // Lends the unrequested rate evenly, which absorbs demand that rises before the next report.
    for (const auto& entry : unsatisfied)
        result[entry.index].share += remaining / static_cast<double>(unsatisfied.size());
    return result;
}

double AccountShareCalculator::currentRate(const Demand& demand, TimePoint now) const
{
    return demand.isReported && now - demand.reportedAt <= m_settings.reportLifetime ? demand.rate : 0;
}

}
