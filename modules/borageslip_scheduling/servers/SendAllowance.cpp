#include "SendAllowance.h"

#include <cmath>
#include <utility>

namespace borageslip {

namespace {

    constexpr Duration minLimitLifetime = std::chrono::seconds(30); ///< After the last response that named the limit.
    constexpr double requestsOfLifetime = 10; ///< At the limit, within which a response would have named it again.

}

bool SendAllowance::recordRateLimit(RateLimitNotice notice)
{
    if (notice.observedAt <= m_limit.observedAt)
        return false;
    return std::exchange(m_limit, notice).perSecond != notice.perSecond;
}

bool SendAllowance::recordNoRateLimit(TimePoint sentAt, TimePoint now)
{
    if (m_limit.perSecond == 0 || sentAt <= m_limit.observedAt)
        return false;
    return recordRateLimit({ 0, now });
}

std::optional<double> SendAllowance::rateLimit(TimePoint now) const
{
    if (m_limit.perSecond == 0)
        return std::nullopt;
    const auto lifetime = minLimitLifetime + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(requestsOfLifetime / m_limit.perSecond));
    return now - m_limit.observedAt < lifetime ? std::optional(m_limit.perSecond) : std::nullopt;
}

void SendAllowance::recordDemand(uint64_t prefixTokens)
{
    constexpr double smoothing = 32; // Adapts within some tens of requests.
    const auto tokens = static_cast<double>(prefixTokens);
    m_meanPrefix = m_meanPrefix == 0 ? tokens : m_meanPrefix + (tokens - m_meanPrefix) / smoothing;
}

double SendAllowance::requiredTokens(uint64_t prefixTokens) const
{
    constexpr double reservedTokens = 2; // For requests with long prefixes, of the 4 that a bucket holds.
    if (m_meanPrefix <= 0)
        return 1;
    return 1 + reservedTokens * (1 - std::min(1.0, static_cast<double>(prefixTokens) / m_meanPrefix));
}

bool SendAllowance::hasRate(RequestRate::Share share, uint64_t prefixTokens, TimePoint now)
{
    const auto limit = rateLimit(now);
    if (!limit)
        return true;
    m_rate.setRate(*limit, share, now);
    // The bucket of an instance that is not the coordinator holds a single token.
    const double required = share == RequestRate::Share::Coordinator ? requiredTokens(prefixTokens) : 1;
    return m_rate.canTake(now, required);
}

void SendAllowance::takeRate(TimePoint now)
{
    if (rateLimit(now))
        m_rate.take(now);
}

void SendAllowance::inherit(const SendAllowance& earlier)
{
    m_isLeaving |= earlier.m_isLeaving;
    pauseUntil(earlier.m_pausedUntil);
    recordRateLimit(earlier.m_limit);
}

}
