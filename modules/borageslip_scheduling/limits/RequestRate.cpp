#include "RequestRate.h"

#include <algorithm>

namespace borageslip {

namespace {

    // Requests that may follow at once after a pause. Arrivals at a mean rate of the limit come unevenly, and the users allow
    // 5 requests beyond the limit.
    constexpr double maxTokensOfCoordinator = 4;
    constexpr double maxTokensOfOther = 1;
    constexpr double rateOfOther = 0.5; ///< Part of the limit.

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

}

double RequestRate::tokensAt(TimePoint now) const
{
    return std::min(m_maxTokens, m_tokens + m_perSecond * std::max(0.0, seconds(now - m_countedAt)));
}

void RequestRate::setRate(double perSecond, Share share, TimePoint now)
{
    m_tokens = m_countedAt == TimePoint() ? 0 : tokensAt(now);
    m_countedAt = now;
    m_perSecond = share == Share::Coordinator ? perSecond : rateOfOther * perSecond;
    m_maxTokens = share == Share::Coordinator ? maxTokensOfCoordinator : maxTokensOfOther;
}

TimePoint RequestRate::nextTokenAt(TimePoint now, double required) const
{
    const double missing = std::max(0.0, required - tokensAt(now));
    return now + std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>(missing / m_perSecond));
}

void RequestRate::take(TimePoint now)
{
    m_tokens = tokensAt(now) - 1;
    m_countedAt = now;
}

}
