#pragma once

#include <borageslip_core/identity/Identifier.h>
#include <borageslip_core/time/Clock.h>
#include <span>
#include <vector>

namespace borageslip {

/** Computes the instances' shares of an account's fleet-wide rate from their usage reports. Runs at the account's home.
    Allocation is max-min fair, and the unrequested rate is lent evenly; the shares of one call add up to 1.

    An instance whose reports stopped while it had demand gets an even share, because its limiter falls back to that. An
    instance that never reported, or whose last report showed no demand, is idle. */
class AccountShareCalculator {
public:
    struct Settings {
        double fleetRate = 1;
        Duration reportLifetime = std::chrono::seconds(3);
        Duration idleTimeout = std::chrono::seconds(60); ///< Time without reports after which an instance counts as idle.
        /** Fraction of an even share that an idle instance keeps, so that its first requests are admitted before its
            next report. The account cannot use this rate while the instance stays idle. */
        double idleFraction = 0.02;
    };

    struct Share {
        MemberId member;
        double share = 0;
    };

    explicit AccountShareCalculator(const Settings& settings)
        : m_settings(settings)
    {
    }

    /** Replaces the set of instances that serve the account and keeps the reports of those that remain in it. */
    void setMembers(std::span<const MemberId>);

    void setFleetRate(double rate) { m_settings.fleetRate = rate; }

    /** Records an instance's demand in cost units per second; ignored if the instance is not in the set. */
    void report(const MemberId&, double demandRate, TimePoint now);

    /** Returns one share for each instance, in the order of setMembers. */
    std::vector<Share> shares(TimePoint now) const;

private:
    struct Demand {
        MemberId member;
        double rate = 0;
        TimePoint reportedAt {};
        bool isReported = false;
    };

    bool isReportOverdue(const Demand&, TimePoint now) const;
    double currentRate(const Demand&, TimePoint now) const;

    Settings m_settings;
    std::vector<Demand> m_demands;
};

}
