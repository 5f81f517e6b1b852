#include "../../platform/StoreCacheServer.h"

#include <borageslip_traffic/peers/StoreReaders.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace borageslip;
using namespace borageslip::platform;
using namespace std::chrono_literals;

// Guards against a watcher that misses a removal, or that sees an older version of a key after a newer one.
TEST_CASE("the store cache returns the last change of each key after a revision")
{
    StoreCache cache;
    CHECK(cache.apply({ "a", "1", 5 }));
    CHECK(cache.apply({ "b", "1", 6 }));
    CHECK(cache.apply({ "a", "2", 7 }));
    CHECK_FALSE(cache.apply({ "a", "1", 5 }));
    CHECK(cache.apply({ "b", {}, 8, true }));
    CHECK_FALSE(cache.apply({ "b", "1", 6 }));
    cache.setAsOf(8);
    const auto changes = cache.changesAfter(5);
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK(changes->front().bytes == "2");
    CHECK(changes->back().isDeleted);
    CHECK(cache.items().size() == 1);
    CHECK(cache.keysMissingFrom({}) == std::vector<std::string> { "a" });
    CHECK(cache.changesAfter(8)->empty());
}

// Guards against memory use that grows with every key that ever existed, and against watchers that miss removals whose
// tombstones have been pruned.
TEST_CASE("the store cache prunes old tombstones and refuses watches from before them")
{
    StoreCache cache;
    for (uint64_t i = 1; i <= 3000; ++i) {
        cache.apply({ "k" + std::to_string(i), "v", 2 * i });
        cache.apply({ "k" + std::to_string(i), {}, 2 * i + 1, true });
    }
    CHECK_FALSE(cache.changesAfter(10));
    CHECK(cache.changesAfter(5990)->size() <= 10);
    CHECK(cache.items().empty());
}

// Guards against a watcher that treats outdated data as confirmed by the store.
TEST_CASE("a response from the store cache states its age, and malformed requests get an error status")
{
    StoreCache cache;
    cache.apply({ "a", std::string("\0x", 2), 5 });
    cache.setAsOf(6);
    CHECK(respondFromCache(cache, std::nullopt, "/borageslip/kv-range?path_prefix=").status == 503);
    const auto answer = respondFromCache(cache, CacheAges { 700ms, 200ms }, "/borageslip/kv-watch?path_prefix=&after=2&wait_ms=500");
    const auto document = nlohmann::json::parse(answer.body);
    CHECK(document["confirmed_age_ms"] == 700);
    CHECK(document["as_of"] == 6);
    CHECK(document["events"].size() == 1);
    CHECK(respondFromCache(cache, CacheAges(), "/borageslip/kv-watch?path_prefix=&after=x").status == 400);
    CHECK(respondFromCache(cache, CacheAges(), "/borageslip/kv-watch").status == 400);
    CHECK(respondFromCache(cache, CacheAges(), "/borageslip/kv-txn").status == 404);
}

// Guards against one instance sending a large configuration to many others over its own link.
TEST_CASE("large values are left out of a response from the store cache unless the query asks for them")
{
    StoreCache cache;
    cache.apply({ "op/config", std::string(40000, 'x'), 5 });
    cache.apply({ "servers/a", "x", 6 });
    const auto answer = respondFromCache(cache, CacheAges(), "/borageslip/kv-watch?path_prefix=&after=0&wait_ms=0");
    CHECK(answer.body.size() < 400);
    CHECK(nlohmann::json::parse(answer.body)["events"][0]["omitted"] == true);
    const auto full = nlohmann::json::parse(respondFromCache(cache, CacheAges { 700ms, 200ms }, "/borageslip/kv-range?path_prefix=op/config&large=1").body);
    CHECK(full["items"].size() == 1);
    // The configuration may have been confirmed apart from the other keys.
    CHECK(full["confirmed_age_ms"] == 200);
    CHECK(full["items"][0]["value"].get<std::string>().size() > 40000);
}

// Guards against an instance that misses an evacuation or its end because its reads besides the watches leave them out.
TEST_CASE("a read of the operators' keys gets evacuations and their ends, with the age of the configuration", "[evacuation]")
{
    StoreCache cache;
    cache.apply({ "op/config", "c", 5 });
    cache.apply({ "op/evacuate/b", "{}", 6 });
    cache.apply({ "servers/a", "x", 7 });
    cache.apply({ "op/evacuate/a", "{}", 8 });
    cache.apply({ "op/evacuate/b", {}, 9, true });
    cache.setAsOf(10);
    const auto changes = nlohmann::json::parse(respondFromCache(cache, CacheAges { 700ms, 200ms }, "/borageslip/kv-watch?path_prefix=op/&after=5&wait_ms=1").body);
    REQUIRE(changes["events"].size() == 2);
    CHECK(changes["events"][0]["key"] == "op/evacuate/a");
    CHECK(changes["events"][1]["deleted"] == true);
    CHECK(changes["as_of"] == 10);
    CHECK(changes["confirmed_age_ms"] == 200);
    const auto keys = nlohmann::json::parse(respondFromCache(cache, CacheAges { 700ms, 200ms }, "/borageslip/kv-range?path_prefix=op/").body);
    CHECK(keys["items"].size() == 2);
    CHECK(keys["confirmed_age_ms"] == 200);
}

// Guards against store calls that grow with the fleet, and against instances without a source of changes.
TEST_CASE("a few instances of each failure domain read the store, and each instance has several sources")
{
    std::vector<std::string> names;
    names.reserve(90);
    for (int i = 0; i < 90; ++i)
        names.push_back("entry-" + std::to_string(i));
    const auto candidate = [&](size_t i) { return ReaderCandidate { names[i], i % 3 == 0 ? "a" : i % 3 == 1 ? "b"
                                                                                                            : "c",
                                               i < 6 ? 200.0 : 10.0 }; };
    int readers = 0;
    for (size_t own = 0; own < names.size(); ++own) {
        std::vector<ReaderCandidate> others;
        others.reserve(names.size());
        for (size_t i = 0; i < names.size(); ++i) {
            if (i != own)
                others.push_back(candidate(i));
        }
        const auto sources = rankedStoreSources(candidate(own), others);
        CHECK(std::count(sources.begin(), sources.end(), std::nullopt) == 1);
        CHECK(sources.size() >= 4);
        if (!sources.front())
            ++readers;
        if (!sources.front())
            continue;
        CHECK(others[*sources.front()].failureDomain == candidate(own).failureDomain);
        CHECK(others[*sources.front()].capacity == 200);
    }
    CHECK(readers == 6);
    CHECK(rankedStoreSources(candidate(0), {}) == std::vector<std::optional<size_t>> { std::nullopt });
}
