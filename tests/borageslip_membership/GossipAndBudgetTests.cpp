#include <borageslip_core/time/ManualClock.h>
#include <borageslip_membership/borageslip_membership.h>
#include <catch2/catch.hpp>
#include <set>

using namespace borageslip;
using namespace std::chrono_literals;

TEST_CASE("an older gossip value does not replace a newer one and an oversized value is rejected")
{
    GossipTable table(MemberId("a"), 10);
    CHECK(table.merge({ MemberId("b"), GossipSlot::Opaque0, 5, { 5 } }));
    CHECK_FALSE(table.merge({ MemberId("b"), GossipSlot::Opaque0, 4, { 4 } }));
    REQUIRE(table.valuesOf(GossipSlot::Opaque0).size() == 1);
    CHECK(table.valuesOf(GossipSlot::Opaque0)[0].payload == std::vector<uint8_t> { 5 });
    CHECK_FALSE(table.publish(GossipSlot::Opaque1, std::vector<uint8_t>(GossipTable::maxPayload + 1)));
}

TEST_CASE("a restarted member's value replaces that of its earlier process")
{
    GossipTable table(MemberId("a"), 1);
    table.publish(GossipSlot::Opaque0, std::vector<uint8_t> { 1 });
    table.merge({ MemberId("a"), GossipSlot::Opaque0, 50, { 9 } });
    const auto values = table.valuesOf(GossipSlot::Opaque0);
    REQUIRE(values.size() == 1);
    CHECK(values[0].version > 50);
    CHECK(values[0].payload == std::vector<uint8_t> { 1 });
}

TEST_CASE("gossip entries that do not fit in one datagram are sent in rotation")
{
    GossipTable table(MemberId("a"), 1);
    for (int i = 0; i < 20; ++i)
        table.merge({ MemberId("m" + std::to_string(i)), GossipSlot::Load, 1, { 1 } });
    std::set<MemberId> seen;
    for (int i = 0; i < 10; ++i) {
        const auto chosen = table.select(100, 3, [](const auto&) { return size_t { 50 }; });
        CHECK(chosen.size() == 2);
        for (const auto& entry : chosen)
            seen.insert(entry.member);
    }
    CHECK(seen.size() == 20);
}

TEST_CASE("a depleted control budget drops bulk gossip first and leave announcements last")
{
    ManualClock clock;
    ControlBudget budget({ 1000, 1000ms }, clock.now());
    const auto canSpend = [&](ControlKind kind) { return budget.available(kind, clock.now()) > 0; };
    REQUIRE(budget.spend(ControlKind::Leaving, 400, clock.now()));
    CHECK_FALSE(canSpend(ControlKind::BulkGossip));
    CHECK(canSpend(ControlKind::Synchronisation));
    REQUIRE(budget.spend(ControlKind::Leaving, 500, clock.now()));
    CHECK_FALSE(budget.spend(ControlKind::Probe, 50, clock.now()));
    CHECK(budget.dropCount(ControlKind::Probe) == 1);
    CHECK(budget.spend(ControlKind::Leaving, 100, clock.now()));
    CHECK_FALSE(budget.spend(ControlKind::Leaving, 1, clock.now()));
    clock.advance(10s);
    CHECK(budget.available(ControlKind::Leaving, clock.now()) == 1000);
    CHECK(budget.bytesSpent(ControlKind::Leaving) == 1000);
}
