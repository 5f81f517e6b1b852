#pragma once

#include <borageslip_core/time/Clock.h>

namespace borageslip {

/** How many requests a cold server may get, from all instances together. */
struct ColdBound {
    double perSecond = 0; ///< That a cold server can serve; 0: no limit.
    double overage = 1.5; ///< Factor of perSecond in the bound.
    double slack = 5; ///< Requests that the bound allows beyond it.

    /** Most requests in any one second. */
    double limit() const { return perSecond * overage + slack; }
};

/** The rate of the quota shares of one service. */
struct ColdShareRate {
    int shareCount = 0; ///< 0: nothing is permitted.
    Duration interval {}; ///< Between two permits of one share for one server.
};

constexpr int maxColdShares = 8; ///< The loss of a holder costs one of them.

/** For which a permit is valid, counted from when it was requested. Covers the reply and opening a connection to a server
    in another failure domain. */
constexpr Duration coldPermitLifetime = std::chrono::milliseconds(150);

/** Longest time from writing a request to its arrival that the bound allows for. Covers one lost segment. */
constexpr Duration coldDeliveryTime = std::chrono::milliseconds(350);

/** Most requests that can arrive at a server in one second by the permits of all shares. */
int mostColdArrivals(const ColdShareRate&);

/** The figures by which the permits of all shares keep the bound in any second: as many shares as fit, and a lower rate
    where one share at the full rate would exceed the bound. */
ColdShareRate coldShareRate(const ColdBound&);

}
