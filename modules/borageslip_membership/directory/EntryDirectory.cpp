#include "EntryDirectory.h"

#include <algorithm>
#include <borageslip_core/identity/Hash.h>
#include <cmath>

namespace borageslip {

namespace {

    using Domain = std::vector<const Member*>;

    // Groups the members by failure domain. The domains, and the members of each, are in rendezvous order for the key.
    std::vector<Domain> rankedDomains(std::span<const Member* const> members, uint64_t key)
    {
        std::map<FailureDomain, Domain> byDomain;
        for (const auto* member : members)
            byDomain[member->failureDomain].push_back(member);
        const auto score = [&](const std::string& text) { return hashPair(key, hashBytes(text)); };
        std::vector<Domain> domains;
        for (auto& [name, domain] : byDomain) {
            std::ranges::sort(domain, std::ranges::greater {}, [&](const Member* member) { return score(member->id.text()); });
            domains.push_back(std::move(domain));
        }
        std::ranges::sort(domains, std::ranges::greater {}, [&](const Domain& domain) { return score(domain.front()->failureDomain.text()); });
        return domains;
    }

    // Picks one member of each domain in turn until there are `count` members or none are left.
    std::vector<const Member*> pickRoundRobin(const std::vector<Domain>& domains, size_t count)
    {
        std::vector<const Member*> picked;
        for (size_t row = 0; picked.size() < count; ++row) {
            const auto before = picked.size();
            for (const auto& domain : domains) {
                if (row < domain.size() && picked.size() < count)
                    picked.push_back(domain[row]);
            }
            if (picked.size() == before)
                break;
        }
        return picked;
    }

}

EntryDirectory::EntryDirectory(Region region, std::chrono::seconds ttl)
    : m_region(std::move(region))
    , m_ttl(ttl)
{
}

DirectoryResponse EntryDirectory::entriesFor(const std::optional<AccountId>& account, std::string_view callerHint, size_t count, std::span<const Member> members) const
{
    const auto shard = account ? accountShard(*account, members) : eligible(members);
    DirectoryResponse response;
    response.ttl = m_ttl;
    const auto key = hashBytes(callerHint, account ? hashBytes(account->text()) : 0);
    for (const auto* member : pickRoundRobin(rankedDomains(shard, key), count))
        response.entries.push_back({ member->id, member->callerAddress, member->failureDomain, member->region });
    return response;
}

std::vector<const Member*> EntryDirectory::accountShard(const AccountId& account, std::span<const Member> members) const
{
    const auto candidates = eligible(members);
    const auto domains = rankedDomains(candidates, hashBytes(account.text(), 1));
    const auto share = m_shares.find(account);
    const auto shareSize = share == m_shares.end() ? 0.0 : std::ceil(std::clamp(share->second, 0.0, 1.0) * static_cast<double>(candidates.size()));
    const auto minSize = std::min(domains.size(), maxShardSize);
    return pickRoundRobin(domains, std::clamp(static_cast<size_t>(shareSize), minSize, maxShardSize));
}

std::vector<const Member*> EntryDirectory::eligible(std::span<const Member> members) const
{
    struct Preference {
        MemberState state;
        bool isOwnRegion;
    };
    // Suspected members are returned only if no placeable member is known to be alive.
    static constexpr Preference preferences[] { { MemberState::Alive, true }, { MemberState::Alive, false }, { MemberState::Suspect, true }, { MemberState::Suspect, false } };
    std::vector<const Member*> found;
    for (const auto& preference : preferences) {
        for (const auto& member : members) {
            if (member.isPlaceable && member.state == preference.state && (member.region == m_region) == preference.isOwnRegion)
                found.push_back(&member);
        }
        if (!found.empty())
            break;
    }
    return found;
}

}
