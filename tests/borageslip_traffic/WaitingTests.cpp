#include <borageslip_scheduling/limits/RetryAfter.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start {};

QueuedRequest makeRequest(const std::string& id, const std::string& account, Duration deadline = 1s, double cost = 1)
{
    return { RequestId(id), AccountId(account), cost, start, start + deadline };
}

std::string popFront(RequestQueue& queue)
{
    const auto* first = queue.front();
    REQUIRE(first != nullptr);
    auto id = first->id.text();
    queue.pop();
    return id;
}

}

TEST_CASE("requests are dequeued by account priority, then route priority, then deadline")
{
    RequestQueue queue(10);
    queue.push({ 2, 0 }, makeRequest("low account", "a"));
    queue.push({ 1, 2 }, makeRequest("low route", "a"));
    queue.push({ 1, 1 }, makeRequest("later", "a", 3s));
    queue.push({ 1, 1 }, makeRequest("sooner", "a", 2s));
    for (const auto* expected : { "sooner", "later", "low route", "low account" })
        CHECK(popFront(queue) == expected);
    CHECK(queue.isEmpty());
    CHECK(queue.front() == nullptr);
}

TEST_CASE("a surge of one client account does not delay the requests of another one")
{
    RequestQueue queue(256);
    for (int i = 0; i < 100; ++i)
        queue.push({ 1, 1 }, makeRequest("surge" + std::to_string(i), "surging"));
    for (int i = 0; i < 10; ++i)
        queue.push({ 1, 1 }, makeRequest("calm" + std::to_string(i), "calm"));
    std::map<char, int> taken;
    for (int i = 0; i < 20; ++i)
        ++taken[popFront(queue)[0]];
    CHECK(taken['c'] >= 9);
}

TEST_CASE("client accounts with long prompts are served as many tokens as those with short prompts")
{
    RequestQueue queue(256);
    for (int i = 0; i < 100; ++i) {
        queue.push({ 1, 1 }, makeRequest("long" + std::to_string(i), "long", 1s, 4));
        queue.push({ 1, 1 }, makeRequest("short" + std::to_string(i), "short"));
    }
    std::map<char, double> served;
    for (int i = 0; i < 50; ++i) {
        const auto id = popFront(queue);
        served[id[0]] += id[0] == 'l' ? 4 : 1;
    }
    CHECK(std::abs(served['l'] - served['s']) <= 8);
}

TEST_CASE("a full queue displaces requests of lower priority first, then those of the account with the longest backlog, not those of other accounts")
{
    RequestQueue queue(4);
    queue.push({ 1, 1 }, makeRequest("a1", "a", 1s));
    queue.push({ 1, 1 }, makeRequest("a2", "a", 2s));
    queue.push({ 1, 1 }, makeRequest("a3", "a", 3s));
    queue.push({ 5, 1 }, makeRequest("low", "z"));

    const auto urgent = queue.push({ 0, 0 }, makeRequest("urgent", "u"));
    REQUIRE(urgent.displaced);
    CHECK(urgent.displaced->id.text() == "low");

    const auto calm = queue.push({ 1, 1 }, makeRequest("b1", "b"));
    REQUIRE(calm.displaced);
    CHECK(calm.displaced->id.text() == "a3");

    const auto surge = queue.push({ 1, 1 }, makeRequest("a4", "a"));
    CHECK_FALSE(surge.isQueued);
    CHECK_FALSE(surge.displaced);
    CHECK(queue.size() == 4);

    const auto low = queue.push({ 7, 0 }, makeRequest("lower", "z"));
    CHECK_FALSE(low.isQueued);
}

TEST_CASE("a queue entry is removed with its request, and a displaced request is notified at once")
{
    boost::asio::io_context context;
    WaitQueue waitQueue;
    AutoResetEvent signal(context.get_executor());
    AutoResetEvent displacedSignal(context.get_executor());
    {
        std::vector<std::unique_ptr<WaitQueueEntry>> entries;
        WaitQueueEntry low(waitQueue, { 9, 0 }, makeRequest("low", "z"), displacedSignal);
        for (size_t i = 1; i < maxWaitingRequests; ++i)
            entries.push_back(std::make_unique<WaitQueueEntry>(waitQueue, RequestPriority { 1, 1 }, makeRequest(std::to_string(i), "a"), signal));
        CHECK(low.isWaiting());
        CHECK_FALSE(low.isFirst());
        WaitQueueEntry urgent(waitQueue, { 0, 0 }, makeRequest("urgent", "u"), signal);
        CHECK(urgent.isFirst());
        CHECK_FALSE(low.isWaiting());

        bool isNotified = false;
        boost::asio::co_spawn(
            context, displacedSignal.waitFor(1s), [&](const std::exception_ptr&, bool notified) { isNotified = notified; });
        context.run();
        CHECK(isNotified);

        urgent.dequeue();
        CHECK_FALSE(urgent.isWaiting());
        CHECK(entries.front()->isFirst());
    }
    CHECK(waitQueue.isEmpty());
}

TEST_CASE("the latest start time allows for half of the latency objective and for the typical service time")
{
    CHECK(latestStart(start, start + 10s, 4s, 0s) == start + 2s);
    CHECK(latestStart(start, start + 10s, 60s, 0s) == start + 10s);
    CHECK(latestStart(start, start + 10s, 60s, 3s) == start + 7s);
}

TEST_CASE("retry delays of rejected callers are spread over at most a third of their remaining time")
{
    std::minstd_rand random(3);
    std::map<int64_t, int> tenths;
    for (int i = 0; i < 3000; ++i) {
        const auto delay = jitteredRetryAfter(3000ms, random);
        CHECK(delay <= 1000ms);
        CHECK(delay >= 150ms);
        ++tenths[delay.count() / 100];
        CHECK(jitteredRetryAfter(60ms, random) <= 20ms);
        CHECK(jitteredRetryAfter(0ms, random) == 0ms);
        CHECK(jitteredRetryAfter(60s, random) <= 1500ms);
    }
    for (int tenth = 2; tenth < 10; ++tenth)
        CHECK(tenths[tenth] > 200);
}

TEST_CASE("slots are reserved for the most urgent requests only while such requests arrive")
{
    PriorityReserve reserve;
    const RequestPriority urgent { 0, 0 };
    const RequestPriority other { 0, 1 };
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
