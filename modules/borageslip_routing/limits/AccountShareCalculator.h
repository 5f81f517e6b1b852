#pragma once

#include <borageslip_core/identity/Identifier.h>
#include <borageslip_core/time/Clock.h>
#include <span>
#include <vector>

namespace borageslip {

/** Turns the usage reports of an account's daemons into shares of the account's fleet-wide rate. Runs at the account's
    home. Demand is met max-min fairly and unused shares are lent; the shares of one call add up to 1.

    A daemon whose reports stopped while it had demand is counted with an even share, which is what its limiter falls
    back to. A daemon that never reported, or whose last report showed no demand, is idle. */
class AccountShareCalculator {
public:
    struct Settings {
        double fleetRate = 1;
        Duration reportLifetime = std::chrono::seconds(3);
        Duration idleTimeout = std::chrono::seconds(60); ///< After this, a daemon whose reports stopped counts as idle.
        /** Part of an even share that an idle daemon keeps, so that its first requests pass before the next report. It
            is lost to the account while the daemon stays idle. */
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

    /** Replaces the set of daemons that serve the account; reports of those that stay are kept. */
    void setMembers(std::span<const MemberId>);

    void setFleetRate(double rate) { m_settings.fleetRate = rate; }

    /** Notes a daemon's demand in cost units per second; ignored for a daemon outside the set. */
    void report(const MemberId&, double demandRate, TimePoint now);

    /** Returns one share for each daemon, in the order of setMembers. */
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
