#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start = TimePoint() + 1h;
constexpr uint64_t server = 7;
constexpr uint32_t slots = 12;

WaitingReservation waiting(uint64_t sequence, RequestPriority priority = {}, Duration patience = 100ms)
{
    ReservationMessage message { "a", 1, sequence, { server, 1, 0 }, true, { slots, 0 } };
    message.promptTokens = 1000;
    message.priority = priority;
    message.waitWithin = 100ms;
    return { std::move(message), {}, start + patience };
}

}

// Guards against an urgent request that waits behind a less urgent one, and against a later request that overtakes one
// that has waited longer.
TEST_CASE("a freed slot goes to the most urgent waiting request, then to the one that came first")
{
    ReservationWaitList list;
    list.add(waiting(1, { 0, 2 }));
    list.add(waiting(2, { 0, 1 }));
    list.add(waiting(3, { 0, 1 }));
    CHECK(list.hasBefore(server, { 0, 1 }));
    CHECK_FALSE(list.hasBefore(server, { 0, 0 }));
    CHECK_FALSE(list.hasBefore(server + 1, { 0, 1 }));
    for (const uint64_t expected : { 2u, 3u, 1u })
        CHECK(list.takeFirst(server).message.sequence == expected);
    CHECK(list.first(server) == nullptr);
}

// Guards against a prefix with more load than its server can take, all of whose requests wait there in vain.
TEST_CASE("a bounded number of requests waits for a server, and only those that are willing to")
{
    ReservationWaitList list;
    auto unwilling = waiting(1);
    unwilling.message.waitWithin = 0ms;
    CHECK_FALSE(list.hasRoom(unwilling.message));
    uint64_t added = 0;
    while (added < 100 && list.hasRoom(waiting(1).message))
        list.add(waiting(++added));
    CHECK(added >= 1);
    CHECK(added <= slots);
    auto elsewhere = waiting(1);
    elsewhere.message.usage.server = server + 1;
    CHECK(list.hasRoom(elsewhere.message));
}

// Guards against requests that wait for ever, and against usage that stays counted after a wait.
TEST_CASE("a request waits for as long as it may and counts as waiting until then")
{
    ReservationWaitList list;
    list.add(waiting(1, {}, 100ms));
    list.add(waiting(2, {}, 50ms));
    CHECK(list.usage(server) == ServerUsage { server, 2, 2000 });
    CHECK(list.nextExpiry() == start + 50ms);
    CHECK(list.takeExpired(start + 49ms).empty());
    const auto expired = list.takeExpired(start + 50ms);
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().message.sequence == 2);
    CHECK(list.usage(server) == ServerUsage { server, 1, 1000 });
    CHECK(list.takeExpired(start + 1s).size() == 1);
    CHECK(list.size() == 0);
    CHECK_FALSE(list.nextExpiry());
}
