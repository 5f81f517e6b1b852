#pragma once

#include <borageslip_core/errors/Result.h>
#include <borageslip_core/time/Clock.h>

namespace borageslip {

/** Token bucket of one account on one daemon. Its rate is a share of the account's fleet-wide rate; when no share has
    arrived for some time, it falls back to an even share.
    @see AccountShareCalculator */
class AccountLimiter {
public:
    struct Settings {
        double fleetRate = 1; ///< Cost units per second over the whole fleet.
        Duration burst = std::chrono::milliseconds(500); ///< How much of its rate the bucket holds.
        Duration shareLifetime = std::chrono::seconds(3);
        int instances = 1; ///< Daemons in the account's set.
    };

    AccountLimiter(const Settings&, TimePoint now);

    /** Takes the cost from the bucket, or fails with RateLimited and the time after which it would pass. */
    Status tryAcquire(double cost, TimePoint now);

    void setShare(double share, TimePoint now);

    /** Changes the declared rate and the size of the account's set. */
    void setFleetRate(double rate, int instances) { m_settings.fleetRate = rate, m_settings.instances = instances; }

    /** True when the demand differs so much from the last report that it should be reported before its turn: by more
        than a tenth of the fleet-wide rate and by more than chance. At most five times per second. */
    bool isReportDue(TimePoint now) const;

    /** Returns the demand, admitted or not, in cost units per second since the last call. */
    double takeDemandRate(TimePoint now);

    double rate(TimePoint now) const;

private:
    void refill(TimePoint now);
    double burstSize(TimePoint now) const;

    Settings m_settings;
    double m_share = 0;
    TimePoint m_shareUntil;
    double m_tokens;
    TimePoint m_refilledAt;
    double m_demand = 0;
    double m_reportedRate = 0;
    TimePoint m_demandSince;
};

}
