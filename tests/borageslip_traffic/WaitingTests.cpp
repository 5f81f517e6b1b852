#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start {};

QueuedRequest waiting(const std::string& id, const std::string& account, Duration deadline = 1s, double cost = 1)
{
    return { RequestId(id), AccountId(account), cost, start, start + deadline };
}

std::string takeFirst(RequestQueue& queue)
{
    const auto* first = queue.front();
    REQUIRE(first != nullptr);
    auto id = first->id.text();
    queue.pop();
    return id;
}

}

TEST_CASE("waiting requests leave by account priority, then route priority, then the time left")
{
    RequestQueue queue(10);
    queue.push({ 2, 0 }, waiting("low account", "a"));
    queue.push({ 1, 2 }, waiting("low route", "a"));
    queue.push({ 1, 1 }, waiting("later", "a", 3s));
    queue.push({ 1, 1 }, waiting("sooner", "a", 2s));
    for (const auto* expected : { "sooner", "later", "low route", "low account" })
        CHECK(takeFirst(queue) == expected);
    CHECK(queue.isEmpty());
    CHECK(queue.front() == nullptr);
}

TEST_CASE("a surge of one account does not delay the requests of another one")
{
    RequestQueue queue(256);
    for (int i = 0; i < 100; ++i)
        queue.push({ 1, 1 }, waiting("surge" + std::to_string(i), "surging"));
    for (int i = 0; i < 10; ++i)
        queue.push({ 1, 1 }, waiting("calm" + std::to_string(i), "calm"));
    std::map<char, int> taken;
    for (int i = 0; i < 20; ++i)
        ++taken[takeFirst(queue)[0]];
    CHECK(taken['c'] >= 9);
}

TEST_CASE("accounts with long prompts are served the same tokens as those with short ones")
{
    RequestQueue queue(256);
    for (int i = 0; i < 100; ++i) {
        queue.push({ 1, 1 }, waiting("long" + std::to_string(i), "long", 1s, 4));
        queue.push({ 1, 1 }, waiting("short" + std::to_string(i), "short"));
    }
    std::map<char, double> served;
    for (int i = 0; i < 50; ++i) {
        const auto id = takeFirst(queue);
        served[id[0]] += id[0] == 'l' ? 4 : 1;
    }
    CHECK(std::abs(served['l'] - served['s']) <= 8);
}

TEST_CASE("a full queue takes room from less urgent work first, then from the longest backlog, never from a calm account")
{
    RequestQueue queue(4);
    queue.push({ 1, 1 }, waiting("a1", "a", 1s));
    queue.push({ 1, 1 }, waiting("a2", "a", 2s));
    queue.push({ 1, 1 }, waiting("a3", "a", 3s));
    queue.push({ 5, 1 }, waiting("low", "z"));

    const auto urgent = queue.push({ 0, 0 }, waiting("urgent", "u"));
    REQUIRE(urgent.displaced);
    CHECK(urgent.displaced->id.text() == "low");

    const auto calm = queue.push({ 1, 1 }, waiting("b1", "b"));
    REQUIRE(calm.displaced);
    CHECK(calm.displaced->id.text() == "a3");

    const auto surge = queue.push({ 1, 1 }, waiting("a4", "a"));
    CHECK_FALSE(surge.isQueued);
    CHECK_FALSE(surge.displaced);
    CHECK(queue.size() == 4);

    const auto low = queue.push({ 7, 0 }, waiting("lower", "z"));
    CHECK_FALSE(low.isQueued);
}

TEST_CASE("a waiting place ends with its request, and a displaced one learns it at once")
{
    boost::asio::io_context context;
    WaitingRoom room;
    AutoResetEvent signal(context.get_executor());
    AutoResetEvent displacedSignal(context.get_executor());
    {
        std::vector<std::unique_ptr<WaitingPlace>> places;
        WaitingPlace low(room, { 9, 0 }, waiting("low", "z"), displacedSignal);
        for (size_t i = 1; i < maxWaitingRequests; ++i)
            places.push_back(std::make_unique<WaitingPlace>(room, Urgency { 1, 1 }, waiting(std::to_string(i), "a"), signal));
        CHECK(low.isKept());
        CHECK_FALSE(low.isFirst());
        WaitingPlace urgent(room, { 0, 0 }, waiting("urgent", "u"), signal);
        CHECK(urgent.isFirst());
        CHECK_FALSE(low.isKept());

        bool isNotified = false;
        boost::asio::co_spawn(
            context, displacedSignal.waitFor(1s), [&](const std::exception_ptr&, bool notified) { isNotified = notified; });
        context.run();
        CHECK(isNotified);

        urgent.take();
        CHECK_FALSE(urgent.isKept());
        CHECK(places.front()->isFirst());
    }
    CHECK(room.isEmpty());
}

TEST_CASE("a request that the usual service time would make late does not wait until its limit")
{
    CHECK(latestStart(start, start + 10s, 4s, 0s) == start + 2s);
    CHECK(latestStart(start, start + 10s, 60s, 0s) == start + 10s);
    CHECK(latestStart(start, start + 10s, 60s, 3s) == start + 7s);
}

TEST_CASE("rejected callers return spread over a third of their time at most")
{
    std::minstd_rand random(3);
    std::map<int64_t, int> tenths;
    for (int i = 0; i < 3000; ++i) {
        const auto back = spreadReturnTime(3000ms, random);
        CHECK(back <= 1000ms);
        CHECK(back >= 150ms);
        ++tenths[back.count() / 100];
        CHECK(spreadReturnTime(60ms, random) <= 20ms);
        CHECK(spreadReturnTime(0ms, random) == 0ms);
        CHECK(spreadReturnTime(60s, random) <= 1500ms);
    }
    for (int tenth = 2; tenth < 10; ++tenth)
        CHECK(tenths[tenth] > 200);
}

TEST_CASE("some places are kept for the most urgent work while it comes, and none when it does not")
{
    UrgentReserve reserve;
    const Urgency urgent { 0, 0 };
    const Urgency other { 0, 1 };
    CHECK(reserve.slotsFor(other, 16, start) == 16);
    reserve.recordArrival(other, start);
    CHECK(reserve.slotsFor(other, 16, start) == 16);
    reserve.recordArrival(urgent, start);
    CHECK(reserve.slotsFor(other, 16, start + 1s) == 14);
    CHECK(reserve.slotsFor(urgent, 16, start + 1s) == 16);
    CHECK(reserve.slotsFor(other, 4, start + 1s) == 4);
    CHECK(reserve.slotsFor(other, 0, start + 1s) == 0);
    CHECK(reserve.slotsFor(other, 16, start + 6s) == 16);
}
