#include "Engines.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace borageslip;
using namespace borageslip::test;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t chatCount = 20000;

// RapidCheck reads RC_PARAMS before its first run. A value already set takes precedence, to reproduce a failure.
const int s_fixedSeed = setenv("RC_PARAMS", "seed=20260", 0);

std::vector<size_t> firstChoices(const std::vector<EngineView>& engines)
{
    const RendezvousRanking ranking(engines);
    std::vector<size_t> choices;
    std::vector<size_t> ranked;
    for (uint64_t chat = 0; chat < chatCount; ++chat) {
        ranking.topRanked(makeChat(chat), 1, ranked);
        choices.push_back(ranked.at(0));
    }
    return choices;
}

size_t countDifferent(const std::vector<size_t>& first, const std::vector<size_t>& second)
{
    size_t count = 0;
    for (size_t i = 0; i < first.size(); ++i)
        count += first[i] != second[i] ? 1 : 0;
    return count;
}

}

TEST_CASE("the loss of one of n engines moves no more than 1.2/n of the chats")
{
    const auto count = GENERATE(as<size_t> {}, 3, 10, 12, 50);
    auto engines = makeEngines(count);
    const auto before = firstChoices(engines);
    for (size_t leaving = 0; leaving < std::min<size_t>(count, 12); ++leaving) {
        engines[leaving].isAvailable = false;
        const auto after = firstChoices(engines);
        engines[leaving].isAvailable = true;
        CHECK(static_cast<double>(countDifferent(before, after)) <= 1.2 * static_cast<double>(chatCount) / static_cast<double>(count));
        for (size_t chat = 0; chat < chatCount; ++chat) {
            if (before[chat] != leaving && before[chat] != after[chat])
                FAIL("a chat of a staying engine moved");
        }
    }
}

TEST_CASE("flapping of one engine does not move the chats of the others back and forth")
{
    auto engines = makeEngines(10);
    const auto before = firstChoices(engines);
    std::vector<size_t> whileAway;
    for (int flap = 0; flap < 5; ++flap) {
        engines[4].isAvailable = false;
        const auto away = firstChoices(engines);
        if (flap > 0)
            CHECK(away == whileAway);
        whileAway = away;
        engines[4].isAvailable = true;
        CHECK(firstChoices(engines) == before);
    }
}

TEST_CASE("the truncated ranking is the start of the full ranking for any weights")
{
    CHECK(rc::check([] {
        auto engines = makeEngines(*rc::gen::inRange<size_t>(1, 80));
        for (auto& engine : engines)
            engine.weight = *rc::gen::inRange(0, 5) * 0.5;
        const auto chat = makeChat(*rc::gen::arbitrary<uint64_t>());
        const auto full = RendezvousPlacement().rank(chat, engines);
        std::vector<size_t> top;
        RendezvousRanking(engines).topRanked(chat, 8, top);
        RC_ASSERT(top.size() == std::min<size_t>(8, full.size()));
        RC_ASSERT(std::equal(top.begin(), top.end(), full.begin()));
    }));
}

TEST_CASE("a lower weight lowers an engine's share of the chats in proportion")
{
    auto engines = makeEngines(10);
    engines[0].weight = 0.5;
    const auto choices = firstChoices(engines);
    const auto share = static_cast<double>(std::count(choices.begin(), choices.end(), 0)) / chatCount;
    CHECK(share == Approx(0.5 / 9.5).epsilon(0.1));
}

TEST_CASE("placement never exceeds the load bound while any engine is below it")
{
    CHECK(rc::check([] {
        auto engines = makeEngines(*rc::gen::inRange<size_t>(1, 20));
        const RendezvousRanking ranking(engines);
        const LoadBound bound;
        RendezvousPlacement placement;
        const auto requests = *rc::gen::inRange(1, 300);
        const auto chats = *rc::gen::inRange<uint64_t>(1, 50);
        for (int placed = 0; placed < requests; ++placed) {
            const double mean = static_cast<double>(placed + 1) / static_cast<double>(engines.size());
            const int limit = bound.limit(mean);
            const auto chosen = placement.choose(makeChat(*rc::gen::inRange<uint64_t>(0, chats)), engines, ranking, limit, {}, static_cast<size_t>(placed % 25));
            RC_ASSERT(chosen.has_value());
            RC_ASSERT(++engines[*chosen].running <= limit);
        }
    }));
}

TEST_CASE("a popular chat spreads over the next-ranked engines")
{
    const auto engines = makeEngines(10);
    const RendezvousRanking ranking(engines);
    HotChatSpreader spread(100, 4);
    RendezvousPlacement placement;
    std::map<size_t, int> received;
    for (int i = 0; i < 12; ++i)
        ++received[*placement.choose(makeChat(1), engines, ranking, 1000, {}, spread.begin(makeChat(1)))];
    const auto ranked = placement.rank(makeChat(1), engines);
    CHECK(received == std::map<size_t, int> { { ranked[0], 4 }, { ranked[1], 4 }, { ranked[2], 4 } });
    for (int i = 0; i < 12; ++i)
        spread.end(makeChat(1));
    CHECK(spread.begin(makeChat(1)) == 0);
}

TEST_CASE("a preferred engine is chosen only while it is available and below the bound")
{
    auto engines = makeEngines(10);
    const RendezvousRanking ranking(engines);
    RendezvousPlacement placement;
    const auto ranked = placement.rank(makeChat(1), engines);
    const std::vector<EngineHash> preferred { 12345, engines[ranked[5]].hash };
    CHECK(placement.choose(makeChat(1), engines, ranking, 2, preferred) == ranked[5]);
    engines[ranked[5]].running = 2;
    CHECK(placement.choose(makeChat(1), engines, ranking, 2, preferred) == ranked[0]);
    engines[ranked[5]].running = 0;
    engines[ranked[5]].isAvailable = false;
    CHECK(placement.choose(makeChat(1), engines, RendezvousRanking(engines), 2, preferred) == ranked[0]);
}

TEST_CASE("every baseline ranks each available engine exactly once")
{
    auto engines = makeEngines(10);
    engines[3].isAvailable = false;
    RandomPlacement random(1);
    RoundRobinPlacement roundRobin;
    LeastReportedLoadPlacement leastLoad;
    ConsistentHashPlacement consistent;
    for (PlacementPolicy* policy : std::initializer_list<PlacementPolicy*> { &random, &roundRobin, &leastLoad, &consistent }) {
        for (uint64_t chat = 0; chat < 50; ++chat) {
            const auto ranked = policy->rank(makeChat(chat), engines);
            CHECK(ranked.size() == 9);
            CHECK(std::set<size_t>(ranked.begin(), ranked.end()).size() == 9);
            CHECK(std::count(ranked.begin(), ranked.end(), 3) == 0);
        }
    }
}

TEST_CASE("when a home fails, its engines move to their next successor and no other engine moves")
{
    std::vector<HomeCandidate> members(9);
    for (size_t i = 0; i < members.size(); ++i)
        members[i].id = MemberId("member-" + std::to_string(i));
    const HomeAssignment before(members);
    members[2].isPlaceable = false;
    const HomeAssignment after(members);
    for (int i = 0; i < 500; ++i) {
        const EngineId engine("engine-" + std::to_string(i));
        const auto ranked = before.homeAndSuccessors(engine, 2);
        CHECK(after.homeOf(engine) == (ranked[0] == members[2].id ? ranked[1] : ranked[0]));
    }
    CHECK_FALSE(HomeAssignment().homeOf(EngineId("engine-0")).has_value());
}

TEST_CASE("a displaced chat is sent to the engine that holds its prefix until the entry expires or the engine is removed")
{
    ManualClock clock;
    DisplacedChatTable table(100 * DisplacedChatTable::bytesPerChat(), 1h);
    table.recordServed(makeChat(1), 11, 10, clock.now());
    table.recordServed(makeChat(2), 12, 10, clock.now());
    CHECK(table.find(makeChat(1), clock.now()) == 11);
    table.recordServed(makeChat(1), 10, 10, clock.now());
    CHECK_FALSE(table.find(makeChat(1), clock.now()).has_value());
    table.recordServed(makeChat(3), 13, 10, clock.now());
    table.removeEngine(13);
    CHECK_FALSE(table.find(makeChat(3), clock.now()).has_value());
    clock.advance(61min);
    CHECK_FALSE(table.find(makeChat(2), clock.now()).has_value());
}

TEST_CASE("the LRU table keeps the most recently used entries and does not grow")
{
    CHECK(rc::check([] {
        // The keys are close together, so that their probe sequences overlap.
        const auto keys = *rc::gen::container<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(0, 40));
        LruTable<int> table(8);
        const size_t bytes = table.bytes();
        std::vector<uint64_t> expected;
        for (const auto key : keys) {
            const auto known = std::find(expected.begin(), expected.end(), key);
            const bool isErased = known != expected.end() && key % 3 == 0;
            if (known != expected.end())
                expected.erase(known);
            if (isErased) {
                RC_ASSERT(table.erase(key));
            } else {
                table.findOrInsert(key) = static_cast<int>(key);
                expected.push_back(key);
                if (expected.size() > 8)
                    expected.erase(expected.begin());
            }
            for (uint64_t other = 0; other < 40; ++other)
                RC_ASSERT((table.peek(other) != nullptr) == (std::count(expected.begin(), expected.end(), other) == 1));
        }
        RC_ASSERT(table.size() == expected.size());
        RC_ASSERT(table.bytes() == bytes);
    }));
}

TEST_CASE("a gap in cache events makes entries uncertain without dropping them")
{
    using enum CacheEvent::Kind;
    PrefixIndex index(100000);
    index.apply(1, { 5, Stored, 100 });
    index.apply(1, { 6, Stored, 101 });
    CHECK(index.find(100).at(0).isCertain);
    index.apply(1, { 9, Stored, 102 });
    REQUIRE(index.find(100).size() == 1);
    CHECK_FALSE(index.find(100).at(0).isCertain);
    CHECK(index.find(102).at(0).isCertain);
    index.apply(2, { 1, Stored, 100 });
    CHECK(index.find(100).at(0).engine == 2);
    index.apply(1, { 8, Evicted, 102 });
    CHECK(index.find(102).size() == 1);
    index.apply(1, { 10, Evicted, 101 });
    CHECK(index.find(101).empty());
    index.apply(1, { 11, Cleared, 0 });
    CHECK(index.find(102).empty());
    CHECK(index.find(100).size() == 1);
    index.removeEngine(2);
    CHECK(index.find(100).empty());
}

TEST_CASE("the prefix index stays within its memory limit when many prefixes are stored")
{
    PrefixIndex index(64 * 1024);
    for (uint64_t i = 0; i < 20000; ++i)
        index.apply(i % 7, { i / 7, CacheEvent::Kind::Stored, hashPair(i, 5) });
    CHECK(index.bytes() <= 64 * 1024);
    CHECK(index.find(hashPair(19999, 5)).size() == 1);
}
