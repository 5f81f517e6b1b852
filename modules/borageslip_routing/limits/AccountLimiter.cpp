#include "AccountLimiter.h"

#include <algorithm>
#include <cmath>

namespace borageslip {

namespace {

    double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

AccountLimiter::AccountLimiter(const Settings& settings, TimePoint now)
    : m_settings(settings)
    , m_shareUntil(now)
    , m_tokens(0)
    , m_refilledAt(now)
    , m_demandSince(now)
{
    m_tokens = burstSize(now);
}

Status AccountLimiter::tryAcquire(double cost, TimePoint now)
{
    refill(now);
    m_demand += cost;
    // A request that costs more than the bucket holds is admitted when the bucket is full and leaves a negative
    // balance; otherwise it could never be admitted.
    const double needed = std::min(cost, burstSize(now));
    if (m_tokens >= needed - 1e-9) {
        m_tokens -= cost;
        return ok();
    }
    const double wait = (needed - m_tokens) / std::max(rate(now), 1e-9);
    const auto retryAfter = std::chrono::milliseconds(static_cast<int64_t>(std::min(wait, 60.0) * 1000) + 1);
    return Error { ErrorKind::RateLimited, "the account's rate limit on this instance is exceeded", retryAfter };
}

void AccountLimiter::setShare(double share, TimePoint now)
{
    refill(now);
    m_share = share;
    m_shareUntil = now + m_settings.shareLifetime;
    // Tokens saved at a higher share are discarded: they would come on top of the share that other instances now have.
    m_tokens = std::min(m_tokens, burstSize(now));
}

bool AccountLimiter::isReportDue(TimePoint now) const
{
    const double elapsed = secondsOf(now - m_demandSince);
    if (elapsed < 0.2)
        return false;
    const double expected = m_reportedRate * elapsed;
    const double difference = std::abs(m_demand - expected);
    return difference > 0.1 * m_settings.fleetRate * elapsed && difference > 3 * std::sqrt(expected) + 3;
}

double AccountLimiter::takeDemandRate(TimePoint now)
{
    const double elapsed = secondsOf(now - m_demandSince);
    if (elapsed <= 0)
        return 0;
    const double demandRate = m_demand / elapsed;
    m_demand = 0;
    m_demandSince = now;
    m_reportedRate = demandRate;
    return demandRate;
}

double AccountLimiter::rate(TimePoint now) const
{
    const double share = now < m_shareUntil ? m_share : 1.0 / std::max(1, m_settings.instances);
    return m_settings.fleetRate * share;
}

void AccountLimiter::refill(TimePoint now)
{
    m_tokens = std::min(m_tokens + rate(now) * secondsOf(now - m_refilledAt), burstSize(now));
    m_refilledAt = now;
}

double AccountLimiter::burstSize(TimePoint now) const
{
    return std::max(1.0, rate(now) * secondsOf(m_settings.burst));
}

}
