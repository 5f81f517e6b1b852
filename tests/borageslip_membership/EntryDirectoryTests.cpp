#include <borageslip_membership/borageslip_membership.h>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace borageslip;

namespace {

std::vector<Member> fleet(size_t size, size_t domains)
{
    std::vector<Member> members;
    for (size_t i = 0; i < size; ++i) {
        Member member;
        member.id = MemberId("router-" + std::to_string(i));
        member.region = Region("here");
        member.failureDomain = FailureDomain("domain-" + std::to_string(i % domains));
        member.callerAddress = "10.0.0." + std::to_string(i) + ":80";
        members.push_back(member);
    }
    return members;
}

const std::optional<AccountId> s_account { AccountId("acme") };

}

TEST_CASE("callers are spread evenly over failure domains, and without an account over all entries")
{
    EntryDirectory directory(Region("here"), std::chrono::seconds(30));
    directory.setAccountShares({ { *s_account, 0.05 } });
    for (const auto size : { 9, 83 }) {
        const auto members = fleet(static_cast<size_t>(size), 3);
        for (const auto& account : { s_account, std::optional<AccountId> {} }) {
            std::map<FailureDomain, double> byDomain;
            std::map<MemberId, double> byEntry;
            for (int caller = 0; caller < 10000; ++caller) {
                const auto answer = directory.entriesFor(account, "caller-" + std::to_string(caller), 3, members);
                REQUIRE(answer.entries.size() == 3);
                ++byDomain[answer.entries[0].failureDomain];
                ++byEntry[answer.entries[0].id];
                CHECK(answer.entries[0].failureDomain != answer.entries[1].failureDomain);
            }
            REQUIRE(byDomain.size() == 3);
            for (const auto& [domain, callers] : byDomain)
                CHECK(callers / (10000.0 / 3) <= 1.2);
            if (!account) {
                CHECK(byEntry.size() == members.size());
            }
        }
    }
}

TEST_CASE("an account's shard covers every failure domain, grows with its share and stays bounded")
{
    EntryDirectory directory(Region("here"), std::chrono::seconds(30));
    const auto members = fleet(83, 3);
    CHECK(directory.accountShard(*s_account, members).size() == 3);
    size_t last = 0;
    for (const auto share : { 0.01, 0.06, 0.08, 0.5, 1.0 }) {
        directory.setAccountShares({ { *s_account, share } });
        const auto set = directory.accountShard(*s_account, members);
        std::set<FailureDomain> domains;
        for (const auto* member : set)
            domains.insert(member->failureDomain);
        CHECK(domains.size() == 3);
        CHECK(set.size() >= last);
        last = set.size();
    }
    CHECK(last == EntryDirectory::maxShardSize);
}

TEST_CASE("a caller keeps its entry when an unrelated member becomes ineligible, and no ineligible member is returned")
{
    const EntryDirectory directory(Region("here"), std::chrono::seconds(30));
    auto members = fleet(9, 3);
    const auto first = [&](int caller) { return directory.entriesFor(s_account, std::to_string(caller), 1, members).entries.at(0).id; };
    std::vector<MemberId> before;
    before.reserve(100);
    for (int caller = 0; caller < 100; ++caller)
        before.push_back(first(caller));
    const auto removed = before[0];
    auto& member = *std::ranges::find(members, removed, &Member::id);
    const auto check = [&] {
        for (int caller = 0; caller < 100; ++caller) {
            const auto now = first(caller);
            CHECK(now != removed);
            if (before[static_cast<size_t>(caller)] != removed)
                CHECK(now == before[static_cast<size_t>(caller)]);
        }
    };
    for (const auto state : { MemberState::Suspect, MemberState::Leaving, MemberState::Dead }) {
        member.state = state;
        check();
    }
    member.state = MemberState::Alive;
    member.isPlaceable = false;
    check();
}

TEST_CASE("one live instance is sufficient, and suspected members are returned only if no member is alive")
{
    const EntryDirectory directory(Region("here"), std::chrono::seconds(30));
    auto members = fleet(9, 3);
    for (auto& member : members)
        member.state = MemberState::Suspect;
    CHECK(directory.entriesFor(s_account, "x", 3, members).entries.size() == 3);
    members[4].state = MemberState::Alive;
    const auto answer = directory.entriesFor(s_account, "x", 3, members);
    REQUIRE(answer.entries.size() == 1);
    CHECK(answer.entries[0].id == members[4].id);
    CHECK(directory.entriesFor(s_account, "x", 3, {}).entries.empty());
}
