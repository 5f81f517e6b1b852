#include "LogBudget.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr double warningFactor = 4;
    constexpr double burstSeconds = 2; ///< Unused allowance that is kept.
    constexpr Duration reportInterval = std::chrono::seconds(1);

}

bool LogBudget::admit(Severity severity, std::string_view event, TimePoint now)
{
    const double rate = severity >= Severity::Warning ? m_linesPerSecond * warningFactor : m_linesPerSecond;
    auto found = m_allowances.find(event);
    if (found == m_allowances.end())
        found = m_allowances.emplace(std::string(event), Allowance { rate * burstSeconds, now }).first;
    auto& allowance = found->second;
    const double passed = std::chrono::duration<double>(now - allowance.filledAt).count();
    allowance.tokens = std::min(rate * burstSeconds, allowance.tokens + passed * rate);
    allowance.filledAt = now;
    if (allowance.tokens < 1) {
        ++allowance.leftOut;
        m_hasLeftOut = true;
        return false;
    }
    allowance.tokens -= 1;
    return true;
}

std::map<std::string, uint64_t> LogBudget::takeLeftOut(TimePoint now)
{
    std::map<std::string, uint64_t> counts;
    if (!m_hasLeftOut || now - m_reportedAt < reportInterval)
        return counts;
    m_reportedAt = now;
    m_hasLeftOut = false;
    for (auto& [event, allowance] : m_allowances) {
        if (allowance.leftOut > 0)
            counts.emplace(event, std::exchange(allowance.leftOut, 0));
    }
    return counts;
}

}
