#pragma once

#include <borageslip_core/errors/Result.h>
#include <borageslip_core/time/Clock.h>

namespace borageslip {

/** Token bucket of one account on one instance. Its rate is the instance's share of the account's fleet-wide rate; when
    no share was set within the share lifetime, it falls back to an even share.
    @see AccountShareCalculator */
class AccountLimiter {
public:
    struct Settings {
        double fleetRate = 1; ///< Cost units per second over the whole fleet.
        Duration burst = std::chrono::milliseconds(500); ///< Capacity of the bucket, as a time at the current rate.
        Duration shareLifetime = std::chrono::seconds(3);
        int instances = 1; ///< Number of instances that serve the account.
    };

    AccountLimiter(const Settings&, TimePoint now);

    /** Takes the cost from the bucket, or fails with RateLimited and the time after which the request would be
        admitted. */
    Status tryAcquire(double cost, TimePoint now);

    void setShare(double share, TimePoint now);

    /** Sets the account's fleet-wide rate and the number of instances that serve it. */
    void setFleetRate(double rate, int instances) { m_settings.fleetRate = rate, m_settings.instances = instances; }

    /** Returns whether the demand should be reported ahead of schedule, because it differs from the last report by more
        than a tenth of the fleet-wide rate and by more than random variation. At most five times per second. */
    bool isReportDue(TimePoint now) const;

    /** Returns the demand since the last call, in cost units per second, including requests that were not admitted, and
        starts a new measurement. */
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
