#include <borageslip_daemon/borageslip_daemon.h>

#include <catch2/catch.hpp>
#include <set>

using namespace borageslip;

namespace {

Member makeMember(const std::string& id, const std::string& region, MemberState state = MemberState::Alive)
{
    Member member;
    member.id = MemberId(id);
    member.region = Region(region);
    member.startIncarnation = 7;
    member.state = state;
    member.isPlaceable = state != MemberState::Leaving;
    return member;
}

FleetView makeView(const std::vector<Member>& members)
{
    const auto configuration = FleetConfiguration::parse(R"({
        "models": { "m": { "engines": ["near", "far"] } },
        "engines": { "near": { "address": "127.0.0.1:1", "slots": 4, "region": "r1" }, "far": { "address": "127.0.0.1:2", "slots": 4, "region": "r2" } },
        "accounts": {} })");
    REQUIRE(isOk(configuration));
    return { value(configuration), std::make_shared<const std::vector<Member>>(members), Region("r1") };
}

}

TEST_CASE("an engine's home is a member of its own region and never a leaving one")
{
    const auto view = makeView({ makeMember("a", "r2"), makeMember("b", "r1"), makeMember("c", "r1", MemberState::Leaving) });
    REQUIRE(view.homeOf(EngineId("near")));
    CHECK(view.homeOf(EngineId("near"))->id == MemberId("b"));
    CHECK(view.enginesOf(ModelId("m"))->ids == std::vector { EngineId("near") });
}

TEST_CASE("a view without placeable members has no homes, so that no daemon becomes ready too early")
{
    auto starting = makeMember("a", "r1");
    starting.isPlaceable = false;
    CHECK_FALSE(makeView({ starting }).hasHomes());
    CHECK_FALSE(makeView({ starting }).homeOf(EngineId("near")));
    CHECK(makeView({ starting, makeMember("b", "r1") }).hasHomes());
}

TEST_CASE("a suspected member remains the home of its engines, because most suspicions are refuted")
{
    CHECK(makeView({ makeMember("a", "r1", MemberState::Suspect) }).homeOf(EngineId("near")));
}

TEST_CASE("an incarnation is found only while that process is a member, and its successors never include it")
{
    const auto view = makeView({ makeMember("a", "r1"), makeMember("b", "r1"), makeMember("c", "r1"), makeMember("d", "r1", MemberState::Leaving) });
    const auto incarnation = incarnationOf(MemberId("a"), 7);
    REQUIRE(memberOfIncarnation(view, incarnation));
    CHECK_FALSE(memberOfIncarnation(view, incarnationOf(MemberId("a"), 8)));
    const auto successors = successorsOf(view, incarnation);
    REQUIRE(successors.size() == 2);
    for (const auto* successor : successors) {
        CHECK(successor->id != MemberId("a"));
        CHECK(successor->state != MemberState::Leaving);
    }
}

TEST_CASE("an account has one home in the whole fleet, so that it does not get its full rate in each region")
{
    const auto configuration = FleetConfiguration::parse(R"({
        "models": {}, "accounts": { "a": { "key_sha256": ["0000000000000000000000000000000000000000000000000000000000000000"], "requests_per_second": 10 } } })");
    REQUIRE(isOk(configuration));
    const auto members = std::make_shared<const std::vector<Member>>(std::vector { makeMember("x", "r1"), makeMember("y", "r2"), makeMember("z", "r2") });
    ManualClock clock;
    std::set<MemberId> homes;
    for (const std::string region : { "r1", "r2" }) {
        const FleetView view(value(configuration), members, Region(region));
        AccountLimits limits(clock, MemberId("x"));
        const auto& definition = view.configuration().accounts().at(AccountId("a"));
        CHECK(isOk(limits.acquire(AccountId("a"), definition)));
        clock.advance(std::chrono::seconds(1));
        for (const auto& report : limits.takeReports(view))
            homes.insert(report.home);
    }
    CHECK(homes.size() == 1);
}

TEST_CASE("a daemon without demand reports this to an account's home once and then sends no more reports")
{
    const auto configuration = FleetConfiguration::parse(R"({
        "models": {}, "accounts": { "a": { "key_sha256": ["0000000000000000000000000000000000000000000000000000000000000000"], "requests_per_second": 10 } } })");
    REQUIRE(isOk(configuration));
    const FleetView view(value(configuration), std::make_shared<const std::vector<Member>>(std::vector { makeMember("x", "r1") }), Region("r1"));
    ManualClock clock;
    AccountLimits limits(clock, MemberId("x"));
    CHECK(isOk(limits.acquire(AccountId("a"), view.configuration().accounts().at(AccountId("a")))));
    std::vector<size_t> reports;
    for (int second = 0; second < 4; ++second) {
        clock.advance(std::chrono::seconds(1));
        reports.push_back(limits.takeReports(view).size());
    }
    CHECK(reports == std::vector<size_t> { 1, 1, 0, 0 });
}
