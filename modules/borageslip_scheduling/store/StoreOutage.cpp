#include "StoreOutage.h"

namespace borageslip {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration minOutage = milliseconds(700); ///< Of failed calls; keys do not expire sooner.

    // Keys removed later than this after the store's recovery did not expire because of the outage.
    constexpr Duration outageExpiryWindow = milliseconds(300);

}

bool StoreOutage::isLong(TimePoint now) const
{
    return m_failingSince && now - *m_failingSince > minOutage;
}

void StoreOutage::recordFailure(TimePoint now)
{
    if (!m_failingSince)
        m_failingSince = now;
}

void StoreOutage::recordAnswer(TimePoint answeredAt, TimePoint now)
{
    // A copy from the time before the failure does not show that the store is back.
    if (!m_failingSince || answeredAt < *m_failingSince)
        return;
    if (isLong(now))
        m_recoveredAt = now;
    m_failingSince.reset();
}

bool StoreOutage::isAfterOutage(TimePoint now) const
{
    return isLong(now) || (m_recoveredAt && now - *m_recoveredAt < outageExpiryWindow);
}

}
