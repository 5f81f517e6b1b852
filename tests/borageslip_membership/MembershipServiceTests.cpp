#include <borageslip_core/time/SystemClock.h>
#include <borageslip_membership/borageslip_membership.h>
#include <catch2/catch.hpp>
#include <future>

using namespace borageslip;

namespace {

class ListenerPromises : public MemberTable::Listener {
public:
    void memberJoined(const Member&) override { joined.set_value(); }
    void memberLeaving(const Member&) override { leaving.set_value(); }
    std::promise<void> joined;
    std::promise<void> leaving;
};

MembershipService::Settings settingsFor(const std::string& id)
{
    MembershipService::Settings settings;
    settings.self.id = MemberId(id);
    settings.self.startIncarnation = 1;
    settings.self.region = Region("here");
    settings.self.gossipAddress = "127.0.0.1:0";
    settings.signingKey = "key";
    return settings;
}

}

TEST_CASE("two services on loopback discover each other and a leave announcement arrives")
{
    const SystemClock clock;
    ControlBudget budget({}, clock.now());
    ListenerPromises listener;
    const auto first = MembershipService::start(settingsFor("a"), budget, clock, &listener);
    REQUIRE(isOk(first));
    auto settings = settingsFor("b");
    settings.seeds = { value(first)->self().gossipAddress };
    const auto second = MembershipService::start(settings, budget, clock, nullptr);
    REQUIRE(isOk(second));
    listener.joined.get_future().wait();
    value(second)->leave();
    listener.leaving.get_future().wait();
    const auto members = value(first)->members();
    REQUIRE(members->size() == 2);
    CHECK(members->at(1).state == MemberState::Leaving);
    CHECK(members == value(first)->members());
}

TEST_CASE("an address that cannot be bound gives an error, not an exception")
{
    CHECK_FALSE(isOk(UdpEndpoint::open("nonsense")));
    CHECK_FALSE(isOk(UdpEndpoint::open("127.0.0.1:99999")));
    const auto open = UdpEndpoint::open("127.0.0.1:0");
    REQUIRE(isOk(open));
    CHECK_FALSE(isOk(UdpEndpoint::open(value(open)->address())));
}
