#include <borageslip_core/borageslip_core.h>
#include <borageslip_scheduling/borageslip_scheduling.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr PrefixAtServer key { 1, 77 };
constexpr uint64_t tokens = 8400;
constexpr uint64_t first = 10; ///< Instance that prefills the prefix.
constexpr uint64_t second = 20;
constexpr TimePoint start = TimePoint() + 1h;

PrefixFlights flightsWithTwoWaiters()
{
    PrefixFlights flights;
    flights.begin(key, first, tokens, start);
    CHECK(flights.wait(key, { 1, second }, start + 10ms));
    CHECK(flights.wait(key, { 2, second }, start + 20ms));
    return flights;
}

}

// Guards against a second prefill of a prefix that is being prefilled, and against waits for one that is not.
TEST_CASE("requests wait for a prefix only while it is being prefilled at their server", "[prefix]")
{
    PrefixFlights flights;
    CHECK_FALSE(flights.wait(key, { 1, second }, start));
    flights.begin(key, first, tokens, start);
    CHECK_FALSE(flights.wait({ 2, key.prefix }, { 1, second }, start));
    CHECK_FALSE(flights.wait({ key.server, 78 }, { 1, second }, start));
    CHECK(flights.wait(key, { 1, second }, start));
    CHECK(flights.waitingCount() == 1);
    CHECK(flights.servers() == std::vector { key.server });
}

// Guards against requests that go on waiting although the prefix is cached.
TEST_CASE("the requests that wait are released in order when the prefill has finished", "[prefix]")
{
    auto flights = flightsWithTwoWaiters();
    CHECK(flights.finish(key, first, start + 100ms) == std::vector<uint64_t> { 1, 2 });
    CHECK_FALSE(flights.wait(key, { 3, second }, start + 101ms));
    CHECK_FALSE(flights.nextExpiry());
}

// Guards against all waiting requests prefilling the prefix at once after a failure, and against none of them doing so.
TEST_CASE("after a failed prefill, one of the waiting requests prefills the prefix and the others wait for it", "[prefix]")
{
    auto flights = flightsWithTwoWaiters();
    const auto failure = flights.fail(key, first, start + 50ms);
    CHECK(failure.isKnown);
    CHECK(failure.next == 1u);
    CHECK(flights.waitingCount() == 1);
    CHECK(flights.finish(key, second, start + 150ms) == std::vector<uint64_t> { 2 });
    flights.begin(key, first, tokens, start);
    const auto last = flights.fail(key, first, start);
    CHECK(last.isKnown);
    CHECK_FALSE(last.next);
    CHECK_FALSE(flights.wait(key, { 3, second }, start));
}

// Guards against a late or repeated message that ends the prefill of another request.
TEST_CASE("only the instance that prefills a prefix ends its prefill", "[prefix]")
{
    auto flights = flightsWithTwoWaiters();
    CHECK(flights.finish(key, second, start + 30ms).empty());
    CHECK_FALSE(flights.fail(key, second, start + 30ms).isKnown);
    CHECK(flights.waitingCount() == 2);
    flights.finish(key, first, start + 40ms);
    CHECK(flights.finish(key, first, start + 41ms).empty());
    CHECK_FALSE(flights.fail(key, first, start + 41ms).isKnown);
}

// Guards against requests that wait for a server that is gone.
TEST_CASE("a server that crashed or was removed releases its requests only", "[prefix]")
{
    auto flights = flightsWithTwoWaiters();
    flights.begin({ 2, key.prefix }, first, tokens, start);
    CHECK(flights.wait({ 2, key.prefix }, { 3, second }, start));
    CHECK(flights.drop(key.server) == std::vector<uint64_t> { 1, 2 });
    CHECK(flights.waitingCount() == 1);
    CHECK(flights.servers() == std::vector<uint64_t> { 2 });
}

// Guards against a wait without end when the message of the end, or the instance that sends it, is lost.
TEST_CASE("a wait without news ends in proportion to the tokens", "[prefix]")
{
    auto flights = flightsWithTwoWaiters();
    // 8,400 tokens at the assumed 24 per millisecond.
    CHECK(flights.nextExpiry() == start + 360ms);
    CHECK(flights.takeExpired(start + 359ms).empty());
    CHECK(flights.takeExpired(start + 360ms) == std::vector<uint64_t> { 1 });
    CHECK(flights.takeExpired(start + 370ms) == std::vector<uint64_t> { 2 });
    // A request that comes late in a long prefill waits no longer than the prefill may take.
    CHECK(flights.wait(key, { 3, second }, start + 690ms) == start + 700ms);
    CHECK(flights.takeExpired(start + 700ms) == std::vector<uint64_t> { 3 });
    CHECK_FALSE(flights.wait(key, { 4, second }, start + 700ms));
}

// Guards against waits that take longer than the prefill that they save.
TEST_CASE("a wait takes no longer than prefills at the server have taken", "[prefix]")
{
    PrefixFlights flights;
    const auto measure = [&](Duration taken) {
        flights.begin(key, first, tokens, start);
        flights.finish(key, first, start + taken);
        return flights.expectedTime(key.server, tokens);
    };
    CHECK(measure(105ms) >= 104ms);
    CHECK(flights.expectedTime(key.server, tokens) <= 106ms);
    // Longer times count at once, shorter ones gradually.
    CHECK(measure(210ms) >= 209ms);
    CHECK(measure(105ms) >= 190ms);
    // A server that hung says nothing about later prefills.
    CHECK(measure(60s) <= 701ms);
    CHECK(flights.expectedTime(2, tokens) == 350ms);
}
