#pragma once

#include "../table/Member.h"

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace borageslip {

/** Addresses for one caller, in the order of preference. */
struct DirectoryResponse {
    struct Entry {
        MemberId id;
        std::string address; ///< The member's caller address, "ip:port".
        FailureDomain failureDomain;
        Region region;
    };

    std::vector<Entry> entries;
    std::chrono::seconds ttl { 0 }; ///< How long the caller may use the answer.
};

/** Chooses entries for callers by shuffle sharding.

    Each account gets a set of entries that is spread over the region's failure domains and grows with the account's
    declared share. The choice depends only on its arguments, so all daemons give the same answer for the same member list.
    Not thread-safe while shares are set. */
class EntryDirectory {
public:
    static constexpr size_t maxShardSize = 9;

    EntryDirectory(Region, std::chrono::seconds ttl);

    /** @param shares declared share of the fleet's capacity by account, 0 to 1; others get the smallest set. */
    void setAccountShares(std::map<AccountId, double> shares) { m_shares = std::move(shares); }

    /** Entries that alternate between failure domains. Callers without an account share all entries of the region.
        Members of other regions are returned only when this region has none.
        @param callerHint stable for one caller, e.g. its address; the same hint returns to the same entry. */
    DirectoryResponse entriesFor(const std::optional<AccountId>&, std::string_view callerHint, size_t count, std::span<const Member>) const;

    /** The members of an account's set. */
    std::vector<const Member*> accountShard(const AccountId&, std::span<const Member>) const;

private:
    std::vector<const Member*> eligible(std::span<const Member>) const;

    Region m_region;
    std::chrono::seconds m_ttl;
    std::map<AccountId, double> m_shares;
};

}
