#pragma once

#include "FleetView.h"

#include <borageslip_core/borageslip_core.h>
#include <borageslip_routing/borageslip_routing.h>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace borageslip {

/** Enforces the rate limits of client accounts on this daemon, and divides the fleet-wide rate of the accounts whose home
    is this daemon. Thread-safe.

    Once a second, and earlier when the demand changes considerably, each daemon reports its demand to the account's home
    and receives its share of the fleet-wide rate in reply.
    @see AccountLimiter, AccountShareCalculator */
class AccountLimits {
public:
    /** Demand or share of one account, in requests per second. */
    struct AccountRate {
        AccountId account;
        double rate = 0;
    };

    /** Demand report for one account home. */
    struct Report {
        MemberId home;
        std::string address;
        std::vector<AccountRate> rows;
    };

    AccountLimits(const Clock&, MemberId self);

    /** Charges one request to the account's rate limit; accounts without a limit always succeed.
        Errors: RateLimited with a retry time. */
    Status acquire(const AccountId&, const AccountSettings&);

    /** Returns true if the demand of any account changed enough to send the reports before the next regular interval. */
    bool isReportDue();

    /** Returns one demand report for each account home and resets the demand counted so far. */
    std::vector<Report> takeReports(const FleetView&);

    /** Applies the shares received from an account home. */
    void applyShares(std::span<const AccountRate>);

    /** Called at an account's home: records a daemon's demand and returns that daemon's shares. */
    std::vector<AccountRate> allocateShares(const FleetView&, const MemberId& reporter, std::span<const AccountRate> demands);

    /** Encodes a demand report or a list of shares as CBOR. */
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
    std::map<AccountId, bool> m_isIdle; ///< Whether the account's last report showed no demand.
    std::map<AccountId, AccountShareCalculator> m_calculators;
};

}
