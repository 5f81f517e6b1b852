#include <borageslip_core/borageslip_core.h>
#include <borageslip_scheduling/borageslip_scheduling.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <numeric>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint beginning = TimePoint() + 1h;

std::vector<ServerCandidate> idleServers(size_t count, int inFlight = 4)
{
    std::vector<ServerCandidate> candidates;
    for (size_t i = 0; i < count; ++i)
        candidates.push_back({ hashBytes("server" + std::to_string(i)), inFlight, 128 });
    return candidates;
}

/** Sends that many choosers make at the same moment, each by the same old loads. */
std::vector<int> sendsOfChoosers(std::span<const ServerCandidate> candidates, const ServerChoiceLimits& limits, uint64_t choosers)
{
    std::vector<int> sends(candidates.size());
    for (uint64_t i = 0; i < choosers; ++i) {
        const auto choice = chooseServer(candidates, 0, hashPair(i, 7), limits);
        REQUIRE(choice);
        ++sends[choice->index];
    }
    return sends;
}

ServerChoiceLimits limitsWith(LeastLoadedRule rule)
{
    ServerChoiceLimits limits;
    limits.leastLoadedRule = rule;
    return limits;
}

}

// Guards against all instances overrunning the server that was the least loaded one when they last heard of it.
TEST_CASE("choosers that know the same old loads do not all choose the same server", "[even]")
{
    auto candidates = idleServers(60);
    candidates[17].inFlight = 0;
    const auto together = sendsOfChoosers(candidates, limitsWith(LeastLoadedRule::OfAll), 300);
    CHECK(together[17] == 300);
    const auto apart = sendsOfChoosers(candidates, limitsWith(LeastLoadedRule::OfTwo), 300);
    CHECK(apart[17] >= 3);
    CHECK(*std::max_element(apart.begin(), apart.end()) <= 25);
    CHECK(std::count_if(apart.begin(), apart.end(), [](int count) { return count > 0; }) >= 50);
}

// Guards against a slow but healthy server that all instances abandon at once, and against one that gets as much as the others.
TEST_CASE("a slow server gets less work than the others, but is not abandoned", "[even]")
{
    auto candidates = idleServers(10);
    candidates[3].slowness = 2;
    const auto sends = sendsOfChoosers(candidates, limitsWith(LeastLoadedRule::OfTwo), 10000);
    CHECK(sends[3] < 700);
    candidates[3].inFlight = 1;
    const auto relieved = sendsOfChoosers(candidates, limitsWith(LeastLoadedRule::OfTwo), 10000);
    CHECK(relieved[3] > 700);

    // With a prompt prefix, it keeps its prefixes up to its share of the limit.
    int kept = 0;
    for (uint64_t affinity = 1; affinity <= 1000; ++affinity)
        kept += chooseServer(candidates, affinity, 1)->index == 3 ? 1 : 0;
    CHECK(kept > 50);
    candidates[3].inFlight = 9;
    for (uint64_t affinity = 1; affinity <= 1000; ++affinity)
        CHECK(chooseServer(candidates, affinity, 1)->index != 3);
    candidates[3].slowness = 1;
    int equal = 0;
    for (uint64_t affinity = 1; affinity <= 1000; ++affinity)
        equal += chooseServer(candidates, affinity, 1)->index == 3 ? 1 : 0;
    CHECK(equal > 50);
}

// Guards against another placement in deployments whose servers are equal.
TEST_CASE("servers that all state the same speed are chosen as if they stated none", "[even]")
{
    auto plain = idleServers(30);
    for (size_t i = 0; i < plain.size(); ++i)
        plain[i].inFlight = static_cast<int>(hashPair(i, 3) % 20);
    auto stated = plain;
    for (auto& candidate : stated)
        candidate.slowness = 1.37;
    for (uint64_t i = 0; i < 2000; ++i) {
        const auto affinity = i % 2 == 0 ? 0 : hashPair(i, 1);
        const auto first = chooseServer(plain, affinity, hashPair(i, 2));
        const auto second = chooseServer(stated, affinity, hashPair(i, 2));
        REQUIRE(first);
        REQUIRE(second);
        CHECK(first->index == second->index);
        CHECK(first->reason == second->reason);
    }
    CHECK(leastLoadedRuleFor(50ms) == LeastLoadedRule::OfAll);
    CHECK(leastLoadedRuleFor(450ms) == LeastLoadedRule::OfTwo);
    const std::vector<double> factors(7, 1.1);
    const auto shares = capacityShares(factors);
    CHECK(std::all_of(shares.begin(), shares.end(), [](double share) { return share == 1; }));
}

// Guards against more requests at a server than the load cap allows because it or the others state an odd speed.
TEST_CASE("the load cap holds whatever speeds the servers state", "[even]")
{
    for (const double slowness : { ServerSlowness::least, 1.0, 1.3, ServerSlowness::most }) {
        auto candidates = idleServers(5, 10);
        candidates[0].inFlight = 30;
        candidates[0].slowness = slowness;
        // The mean is 14, so the cap is 2 * 14 + 2.
        for (uint64_t i = 0; i < 500; ++i) {
            candidates[0].inFlight = 37;
            for (const auto rule : { LeastLoadedRule::OfAll, LeastLoadedRule::OfTwo })
                CHECK(chooseServer(candidates, i, i, limitsWith(rule))->index != 0);
        }
        std::vector<double> factors(5, 1);
        factors[0] = slowness;
        CHECK_FALSE(canGrantReservation({ { 1, 31, 0 }, 14, capacityShares(factors)[0] }, {}, 2));
        CHECK(canGrantReservation({ { 1, 2, 0 }, 14, capacityShares(factors)[0] }, {}, 2));
    }
    CHECK(canGrantReservation({ { 1, 30, 0 }, 14, 1 }, {}, 2));
    CHECK_FALSE(canGrantReservation({ { 1, 30, 0 }, 14, 0.5 }, {}, 2));
}

// Guards against a figure of a broken server that empties or floods it, and against division by zero.
TEST_CASE("missing and absurd speeds are ignored or bounded", "[even]")
{
    ServerSlowness slowness;
    CHECK_FALSE(slowness.isKnown(beginning));
    CHECK(slowness.factor(beginning) == ServerSlowness::usual);
    CHECK_FALSE(slowness.recordOwn({ 0, beginning }));
    CHECK_FALSE(slowness.recordOwn({ -5, beginning }));
    slowness.recordShared({ 0, beginning });
    CHECK_FALSE(slowness.isKnown(beginning));
    CHECK(slowness.recordOwn({ 100000, beginning }));
    CHECK(slowness.factor(beginning) == ServerSlowness::most);
    ServerSlowness fast;
    CHECK(fast.recordOwn({ 1, beginning }));
    CHECK(fast.factor(beginning) == ServerSlowness::least);
    // Even the most extreme speeds leave each server a part of the work.
    const std::vector<double> factors { ServerSlowness::most, ServerSlowness::least, ServerSlowness::least };
    CHECK(capacityShares(factors)[0] >= 0.15);
    CHECK(capacityShares({}).empty());
}

// Guards against servers that are avoided for a neighbour's burst that has ended, and against figures applied out of order.
TEST_CASE("the speed is smoothed over seconds, and an old statement is forgotten", "[even]")
{
    ServerSlowness slowness;
    for (int i = 0; i <= 10; ++i)
        slowness.recordOwn({ 100, beginning + 200ms * i });
    const auto burst = beginning + 2200ms;
    slowness.recordShared({ 250, burst });
    CHECK(slowness.factor(burst) > 1.1);
    CHECK(slowness.factor(burst) < 1.3);
    slowness.recordShared({ 400, burst - 1s });
    CHECK(slowness.factor(burst) < 1.3);
    for (int i = 1; i <= 60; ++i)
        slowness.recordOwn({ 250, burst + 200ms * i });
    const auto after = burst + 12s;
    CHECK(slowness.factor(after) > 2.4);
    CHECK(slowness.isKnown(after + 9s));
    CHECK_FALSE(slowness.isKnown(after + 10s));
    CHECK(slowness.factor(after + 10s) == ServerSlowness::usual);
    CHECK(slowness.lastOwn().percent == 250);
}
