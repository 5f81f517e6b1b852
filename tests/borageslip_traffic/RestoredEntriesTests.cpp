#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

ServerDescription entry(int64_t startedAtMs, uint64_t sequence, bool isDraining = false)
{
    ServerDescription server;
    server.id = "s";
    server.service = "pool";
    server.startedAtMs = startedAtMs;
    server.sequence = sequence;
    server.isDraining = isDraining;
    return server;
}

struct TableCase {
    bool isListed() { return !table.ofService("pool").empty(); }
    bool isDraining() { return isListed() && table.ofService("pool").front()->description().isDraining; }
    void advance(Duration step)
    {
        clock.advance(step);
        table.maintain();
    }

    boost::asio::io_context context;
    ManualClock clock;
    ServerTable table { clock, context.get_executor() };
};

}

// Guards against a draining server that gets requests because the store came back with its entry from before the drain.
TEST_CASE("an older entry of a restored store takes effect only after the grace period", "[restored]")
{
    TableCase test;
    test.table.apply(entry(1, 9, true));
    test.table.applyRestored(entry(1, 5));
    CHECK(test.isDraining());
    test.advance(1900ms);
    CHECK(test.isDraining());
    SECTION("the server does not write again")
    {
        test.advance(200ms);
        CHECK_FALSE(test.isDraining());
    }
    SECTION("the server writes its entry again")
    {
        test.table.apply(entry(1, 10, true));
        test.advance(200ms);
        CHECK(test.isDraining());
    }
    SECTION("the store is restored again")
    {
        test.table.restartGracePeriods();
        test.advance(1900ms);
        CHECK(test.isDraining());
    }
    SECTION("the entry is removed")
    {
        test.table.remove("s");
        test.advance(200ms);
        CHECK_FALSE(test.isListed());
    }
    SECTION("the entry is missing after a second return")
    {
        test.table.scheduleRemoval("s");
        test.advance(1900ms);
        CHECK(test.isDraining());
        test.advance(200ms);
        CHECK_FALSE(test.isListed());
    }
}

// Guards against a server that gets requests although it has begun to drain right after the return.
TEST_CASE("an entry that was written after the return takes effect at once", "[restored]")
{
    TableCase test;
    test.table.apply(entry(1, 9));
    test.table.applyRestored(entry(1, 10, true));
    CHECK(test.isDraining());
    test.table.applyRestored(entry(2, 1));
    CHECK_FALSE(test.isDraining());
}

// Guards against requests to a server that was removed and comes back with the copy, and against a new start that waits.
TEST_CASE("the entry of a removed server that comes back with the copy waits for the grace period", "[restored]")
{
    TableCase test;
    test.table.apply(entry(1, 9, true));
    test.table.remove("s");
    test.table.applyRestored(entry(1, 5));
    CHECK_FALSE(test.isListed());
    SECTION("the server does not write again")
    {
        test.advance(2100ms);
        CHECK(test.isListed());
    }
    SECTION("it has written again")
    {
        test.table.applyRestored(entry(1, 10));
        CHECK(test.isListed());
    }
    SECTION("it has started anew")
    {
        test.table.applyRestored(entry(2, 1));
        CHECK(test.isListed());
    }
    SECTION("the copy's entry expires")
    {
        test.table.scheduleRemoval("s");
        test.advance(2100ms);
        CHECK_FALSE(test.isListed());
    }
}

// Guards against prompt parts that are suspected of a crash because the store came back with the entry of an earlier run.
TEST_CASE("the entry of an earlier run that comes back with the copy does not count as a new start", "[restored]")
{
    TableCase test;
    int restarts = 0;
    test.table.setRestartHandler([&](const BackendServer&) { ++restarts; });
    test.table.apply(entry(2, 1));
    test.table.applyRestored(entry(1, 50));
    CHECK(test.table.ofService("pool").front()->description().startedAtMs == 2);
    test.advance(2100ms);
    CHECK(test.table.ofService("pool").front()->description().startedAtMs == 1);
    CHECK(restarts == 0);
    test.table.apply(entry(3, 1));
    CHECK(restarts == 1);
}

// Guards against servers that are dropped after a second return within the grace period of the first one.
TEST_CASE("a second return restarts the grace period of missing entries", "[restored]")
{
    TableCase test;
    test.table.apply(entry(1, 9));
    test.table.scheduleRemoval("s");
    test.advance(1500ms);
    test.table.restartGracePeriods();
    test.advance(1900ms);
    CHECK(test.isListed());
    test.advance(200ms);
    CHECK_FALSE(test.isListed());
}

// Guards against endless reads of a configuration version that the store lost and no running instance has in force.
TEST_CASE("announced versions are forgotten when the store is restored, until an instance announces them again", "[restored]")
{
    const boost::asio::ip::tcp::endpoint other(boost::asio::ip::address_v4::loopback(), 1);
    const TimePoint now = TimePoint() + 1h;
    StoreRefresh refresh("own", 3000ms, 3000ms);
    refresh.recordAnnouncement(other, 8, 7, now);
    const StoreKnowledge knowledge { 7, now + 1900ms };
    CHECK(refresh.next(knowledge, {}, std::nullopt, 2, now + 2s));
    refresh.recordResult(std::nullopt, StoreReadResult::Failed, now + 2s);
    refresh.forgetAnnouncements();
    CHECK(refresh.newestAnnounced() == 0);
    CHECK_FALSE(refresh.next(knowledge, {}, std::nullopt, 2, now + 3s));
    refresh.recordAnnouncement(other, 8, 7, now + 3s);
    CHECK(refresh.newestAnnounced() == 8);
    CHECK(refresh.next(knowledge, {}, std::nullopt, 2, now + 5s));
}
