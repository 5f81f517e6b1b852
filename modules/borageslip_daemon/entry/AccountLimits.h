#pragma once

#include "FleetView.h"

#include <borageslip_core/borageslip_core.h>
#include <borageslip_routing/borageslip_routing.h>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace borageslip {

/** Rate limits of the client accounts on this daemon, and the shares of the accounts whose home it is. Thread-safe.

    Once a second, and earlier when the demand changes much, each daemon tells an account's home the demand it saw and receives its share of the fleet-wide rate.
    @see AccountLimiter, AccountShareCalculator */
class AccountLimits {
public:
    /** Demand or share of one account. */
    struct AccountRate {
        AccountId account;
        double rate = 0;
    };

    /** Rows for one account home. */
    struct Report {
        MemberId home;
        std::string address;
        std::vector<AccountRate> rows;
    };

    AccountLimits(const Clock&, MemberId self);

    /** Takes one request from the account's rate. Errors: RateLimited with a retry time. */
    Status acquire(const AccountId&, const AccountSettings&);

    /** True when the demand of an account changed so much that the reports should not wait for their turn. */
    bool isReportDue();

    /** Returns what to tell each account home, and forgets the demand counted so far. */
    std::vector<Report> takeReports(const FleetView&);

    /** Takes the shares that an account home answered. */
    void applyShares(std::span<const AccountRate>);

    /** At an account's home: notes a daemon's demand and returns that daemon's shares. */
    std::vector<AccountRate> allocateShares(const FleetView&, const MemberId& reporter, std::span<const AccountRate> demands);

    static std::string encode(const MemberId& reporter, std::span<const AccountRate>);
    struct Decoded {
        MemberId reporter;
        std::vector<AccountRate> rows;
    };
    /** Errors: InvalidMessage. */
    static Result<Decoded> decode(std::string_view bytes);

private:
    const Clock& m_clock;
    const MemberId m_self;
    std::mutex m_mutex;
    std::map<AccountId, AccountLimiter> m_limiters;
    std::map<AccountId, bool> m_isIdle; ///< Whether the last report of the account showed no demand.
    std::map<AccountId, AccountShareCalculator> m_calculators;
};

}
