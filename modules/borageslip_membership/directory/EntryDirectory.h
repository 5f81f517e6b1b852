#pragma once

#include "../table/Member.h"

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace borageslip {

/** Entries for one caller, in order of preference. */
struct DirectoryResponse {
    struct Entry {
        MemberId id;
        std::string address; ///< The member's caller address, "ip:port".
        FailureDomain failureDomain;
        Region region;
    };

    std::vector<Entry> entries;
    std::chrono::seconds ttl { 0 }; ///< How long the caller may cache the response.
};

/** Assigns callers to entries, the members through which callers reach the fleet, by shuffle sharding.

    Each account gets a shard of entries that is spread over the region's failure domains and grows with the account's
    declared share. The result depends only on the shares and the arguments, so all daemons return the same entries for the
    same member list. Thread-safe, except that setAccountShares() must not run concurrently with other methods. */
class EntryDirectory {
public:
    static constexpr size_t maxShardSize = 9;

    EntryDirectory(Region, std::chrono::seconds ttl);

    /** @param shares declared share of the fleet's capacity by account, 0 to 1; accounts without one get the
            smallest shard */
    void setAccountShares(std::map<AccountId, double> shares) { m_shares = std::move(shares); }

    /** Returns entries that alternate between failure domains. Callers without an account are spread over all entries of
        the region. Members of other regions are returned only if this region has no eligible member.
        @param callerHint identifies the caller, e.g. by its address; the same hint leads to the same entries */
    DirectoryResponse entriesFor(const std::optional<AccountId>&, std::string_view callerHint, size_t count, std::span<const Member>) const;

    /** Returns the members that the account's callers may use: at least one per failure domain, up to maxShardSize. */
    std::vector<const Member*> accountShard(const AccountId&, std::span<const Member>) const;

private:
    std::vector<const Member*> eligible(std::span<const Member>) const;

    Region m_region;
    std::chrono::seconds m_ttl;
    std::map<AccountId, double> m_shares;
};

}
