#include "ColdShareRate.h"

#include <algorithm>

namespace borageslip {

namespace {

    // Requests that arrive within one second were permitted within this time.
    constexpr Duration permitWindow = std::chrono::seconds(1) + coldPermitLifetime + coldDeliveryTime;

    constexpr Duration longestInterval = std::chrono::hours(1); ///< Lower rates are taken for none.

    Duration intervalOf(double perSecond)
    {
        const std::chrono::duration<double> seconds(1 / perSecond);
        return seconds >= longestInterval ? longestInterval : std::chrono::ceil<Duration>(seconds);
    }

}

int mostColdArrivals(const ColdShareRate& rate)
{
    if (rate.shareCount == 0)
        return 0;
    return rate.shareCount * (static_cast<int>(permitWindow / rate.interval) + 1);
}

ColdShareRate coldShareRate(const ColdBound& bound)
{
    if (bound.perSecond <= 0)
        return {};
    const double limit = bound.limit();
    for (int count = maxColdShares; count > 0; --count) {
        const ColdShareRate rate { count, intervalOf(bound.perSecond / count) };
        if (mostColdArrivals(rate) <= limit)
            return rate;
    }
    if (limit < 1)
        return {};
    const auto slowest = permitWindow / static_cast<int64_t>(std::min(limit, 1e6)) + Duration(1);
    return { 1, std::max(slowest, intervalOf(bound.perSecond)) };
}

}
