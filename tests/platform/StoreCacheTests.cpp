#include "../../platform/StoreCacheServer.h"

#include <borageslip_traffic/store/StoreReaders.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace borageslip;
using namespace borageslip::platform;
using namespace std::chrono_literals;

// Guards against a watcher that misses a removal, or that sees an older version of a key after a newer one.
TEST_CASE("the store cache returns the last change of each key after a revision")
{
    StoreCache cache;
    cache.recordFullRead({}, 4);
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
    cache.recordFullRead({}, 1);
    for (uint64_t i = 1; i <= 3000; ++i) {
        cache.apply({ "k" + std::to_string(i), "v", 2 * i });
        cache.apply({ "k" + std::to_string(i), {}, 2 * i + 1, true });
    }
    CHECK_FALSE(cache.changesAfter(10));
    CHECK(cache.changesAfter(5990)->size() <= 10);
    CHECK(cache.items().empty());
    CHECK(cache.changesHeldAfter() > 10);
    // The key was removed, and its tombstone is gone.
    CHECK_FALSE(cache.apply({ "k1", "v", 2 }));
}

// Guards against a watcher that never learns of a removal because its source had not read the keys yet (DRAIN): nothing has
// happened since, as far as the source knows, and it must not answer that nothing has happened.
TEST_CASE("the store cache answers only for the time since it has read all keys")
{
    StoreCache cache;
    CHECK_FALSE(cache.changesAfter(0));
    cache.apply({ "a", "1", 90 });
    CHECK_FALSE(cache.changesAfter(90));
    cache.recordFullRead({}, 100);
    CHECK_FALSE(cache.changesAfter(99));
    CHECK(cache.changesAfter(100)->empty());
    // A reader may be ahead of its source.
    CHECK(cache.changesAfter(120)->empty());
    CHECK_FALSE(cache.changesAfter(99, "op/"));

    cache.apply({ "a", "2", 110 });
    cache.setAsOf(120);
    CHECK(cache.changesAfter(100)->size() == 1);
    // All keys are read again: the changes in between are not known. An older state of the keys leaves no gap.
    cache.recordFullRead({}, 115);
    CHECK(cache.changesAfter(100));
    cache.recordFullRead({}, 150);
    CHECK_FALSE(cache.changesAfter(149));
    CHECK(cache.changesAfter(150));
    CHECK(cache.changesHeldAfter() == 150);
}

// Guards against the same for the keys of operators, which may be read apart from the others.
TEST_CASE("the store cache does not answer for the time before a part of the keys was read apart from the others")
{
    StoreCache cache;
    cache.recordFullRead({}, 100);
    cache.recordFullRead("op/", 140);
    for (const auto* prefix : { "op/", "op/config" }) {
        CHECK_FALSE(cache.changesAfter(115, prefix));
        CHECK(cache.changesAfter(140, prefix));
    }
    CHECK(cache.changesAfter(115));
    // Once the changes of all keys are known up to there, those of this part are, too.
    cache.setAsOf(140);
    CHECK(cache.changesAfter(115, "op/"));
    CHECK_FALSE(cache.changesAfter(99, "op/"));
}

// Guards against a server or an evacuation that comes back because a source sends an older state of the keys.
TEST_CASE("a key that had been removed before all keys were read does not come back from an older state")
{
    StoreCache cache;
    cache.apply({ "servers/a", "1", 90 });
    cache.recordFullRead({}, 130);
    CHECK_FALSE(cache.apply({ "servers/b", "1", 105 }));
    CHECK_FALSE(cache.apply({ "servers/a", "0", 80 }));
    CHECK(cache.apply({ "servers/b", "1", 131 }));
    CHECK(cache.items().size() == 2);
}

// Guards against an instance that answers a watch which it cannot, and against readers that do not know who can.
TEST_CASE("an instance refuses watches from before it has read all keys, and names the revision")
{
    StoreCache cache;
    cache.apply({ "op/config", "c", 90 });
    cache.recordFullRead({}, 100);
    for (const auto* prefix : { "", "op/", "op/config", "servers/" }) {
        const auto target = std::string("/borageslip/kv-watch?path_prefix=") + prefix + "&wait_ms=1&after=";
        const auto refused = respondFromCache(cache, CacheAges(), target + "99");
        CHECK(refused.status == 410);
        REQUIRE(refused.fields.size() == 1);
        CHECK(refused.fields.front() == std::pair<std::string, std::string>("Store-Changes-After", "100"));
        CHECK(respondFromCache(cache, CacheAges(), target + "100").status == 200);
        CHECK(respondFromCache(cache, CacheAges(), target + "105").status == 200);
    }
}

namespace {

StoreItem itemOf(uint64_t era, std::string key, std::string bytes, uint64_t revision)
{
    StoreItem item { std::move(key), std::move(bytes), revision };
    item.era = era;
    return item;
}

StoreItem removalOf(uint64_t era, std::string key, uint64_t revision)
{
    auto item = itemOf(era, std::move(key), {}, revision);
    item.isDeleted = true;
    return item;
}

bool isNeverNewer(std::string_view, std::string_view, std::string_view)
{
    return false;
}

}

// Guards against changes after the store's return that are dropped because their revisions were issued before, and against a
// response of the old era that arrives late and replaces what was written in the new one.
TEST_CASE("the store cache replaces its keys by those of a newer era, whatever their revisions")
{
    StoreCache cache(1);
    cache.apply(itemOf(1, "same", "1", 100));
    cache.apply(itemOf(1, "changed", "old", 101));
    cache.apply(itemOf(1, "rewritten", "new", 102));
    cache.setAsOf(110);
    const auto changes = cache.replace({ 2, 60 }, { itemOf(2, "same", "1", 50), itemOf(2, "changed", "new", 55), itemOf(2, "rewritten", "new", 57), itemOf(2, "added", "x", 56) }, isNeverNewer);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].key == "changed");
    CHECK(changes[1].key == "added");
    CHECK(cache.era() == 2);
    CHECK(cache.asOf() == 60);
    CHECK_FALSE(cache.apply(itemOf(1, "changed", "old", 101)));
    CHECK_FALSE(cache.isOutdatedBy(itemOf(1, "changed", "old", 101)));
    CHECK(cache.isOutdatedBy(itemOf(3, "changed", "newer", 2)));
    CHECK(cache.apply(itemOf(2, "changed", "newer", 61)));
    CHECK(cache.changesAfter(60)->size() == 1);
    // Keys that were removed in the new era before the read are not known.
    CHECK_FALSE(cache.changesAfter(59));
    CHECK(cache.items().size() == 4);
}

// Guards against servers and evacuations that are dropped at once because the copy lacks keys that their owners are about to
// write again, also in a second drill, and against keys that were removed and come back with the copy without being reported.
TEST_CASE("a key that is missing in a newer era may return, and one that comes back is reported")
{
    StoreCache cache(1);
    cache.apply(itemOf(1, "lost", "1", 100));
    cache.apply(itemOf(1, "kept", "1", 101));
    cache.apply(itemOf(1, "removed", "1", 102));
    cache.apply(removalOf(1, "removed", 103));
    auto changes = cache.replace({ 2, 60 }, { itemOf(2, "kept", "1", 50), itemOf(2, "removed", "1", 51) }, isNeverNewer);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].key == "removed");
    CHECK_FALSE(changes[0].isDeleted);
    CHECK(changes[1].key == "lost");
    CHECK(changes[1].isDeleted);
    CHECK(changes[1].mayReturn);
    CHECK(cache.find("lost")->mayReturn);
    // Instances of the new era that are behind the read have to read all keys, too.
    CHECK_FALSE(cache.changesAfter(59));
    CHECK(cache.changesAfter(60)->empty());
    CHECK(cache.apply(itemOf(2, "lost", "1", 61)));
    changes = cache.replace({ 3, 60 }, { itemOf(3, "kept", "1", 50) }, isNeverNewer);
    REQUIRE(changes.size() == 2);
    CHECK((changes[0].key == "lost" && changes[0].mayReturn));
    CHECK((changes[1].key == "removed" && changes[1].mayReturn));
}

// Guards against an older configuration of the copy that instances take from others, although a newer one is in force.
TEST_CASE("a known value that is newer by its content is kept and served to other instances")
{
    StoreCache cache(1);
    cache.apply(itemOf(1, "op/config", "8", 100));
    cache.apply(itemOf(1, "other", "8", 101));
    const auto isNewer = [](std::string_view key, std::string_view known, std::string_view restored) { return key == "op/config" && known > restored; };
    const auto changes = cache.replace({ 2, 60 }, { itemOf(2, "op/config", "7", 50), itemOf(2, "other", "7", 51) }, isNewer);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].key == "other");
    CHECK(cache.find("op/config")->bytes == "8");
    CHECK(cache.find("op/config")->position() == StorePosition { 2, 50 });
    CHECK(cache.apply(itemOf(2, "op/config", "9", 61)));
}

// Guards against an instance that takes the keys of another era, served by a reader that has or has not noticed the change,
// for changes of its own ones.
TEST_CASE("a response from the store cache states the era of its keys, and no changes of another era are served")
{
    StoreCache cache(2);
    cache.recordFullRead({}, 2);
    cache.apply(itemOf(2, "a", "1", 5));
    cache.setAsOf(6);
    const auto eraOf = [](const StatusResponse& response) { return response.fields.empty() ? "" : response.fields.front().first + " " + response.fields.front().second; };
    for (const auto* target : { "/borageslip/kv-watch?path_prefix=&after=2&era=2", "/borageslip/kv-watch?path_prefix=&after=2", "/borageslip/kv-watch?path_prefix=op/config&after=2&era=2", "/borageslip/kv-range?path_prefix=" }) {
        const auto response = respondFromCache(cache, CacheAges(), target);
        CHECK(response.status == 200);
        CHECK(eraOf(response) == "Store-Era 2");
    }
    for (const auto* target : { "/borageslip/kv-watch?path_prefix=&after=2&era=1", "/borageslip/kv-watch?path_prefix=&after=2&era=3", "/borageslip/kv-watch?path_prefix=op/config&after=2&era=1" }) {
        const auto response = respondFromCache(cache, CacheAges(), target);
        CHECK(response.status == 410);
        CHECK(eraOf(response) == "Store-Era 2");
    }
    CHECK(respondFromCache(StoreCache(), CacheAges(), "/borageslip/kv-watch?path_prefix=&after=2").fields.empty());
}

// Guards against a watcher that treats outdated data as confirmed by the store.
TEST_CASE("a response from the store cache states its age, and malformed requests get an error status")
{
    StoreCache cache;
    cache.recordFullRead({}, 2);
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
    cache.recordFullRead({}, 0);
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

// Guards against an instance that does not get a large value from another one because of its name.
TEST_CASE("a key of any name is read from the store cache")
{
    StoreCache cache;
    cache.recordFullRead({}, 0);
    const std::vector<std::string> names { "w-1", "w-1&large=0", "w+1", "w#1", "w 1", "w=1", "w?1", "w;1", "w\"\\1", "w%1", "w%41b", "wAb", "w%2541b", "w/../1", "w\r\n1", std::string("w\0x", 3), "w\xc3\xa4" };
    uint64_t revision = 0;
    for (const auto& name : names)
        cache.apply({ "servers/" + name, "x", ++revision });
    const auto keysAt = [&](const std::string& parameter) {
        const auto document = nlohmann::json::parse(respondFromCache(cache, CacheAges(), "/borageslip/kv-range?path_prefix=" + parameter + "&large=1").body);
        std::vector<std::string> keys;
        for (const auto& item : document["items"])
            keys.push_back(item["key"]);
        return keys;
    };
    for (const auto& name : names) {
        const auto key = "servers/" + name;
        INFO(percentEncode(key));
        CHECK(std::ranges::count(keysAt(percentEncode(key)), key) == 1);
        // As instances of earlier releases send it, where that is a valid request.
        const bool isSentUnencoded = std::ranges::all_of(key, [](char character) { return static_cast<unsigned char>(character) > ' '; });
        if (isSentUnencoded)
            CHECK(std::ranges::count(keysAt(key), key) == 1);
    }
    CHECK(keysAt("").size() == names.size());
}

// Guards against an instance that misses an evacuation or its end because its reads besides the watches leave them out.
TEST_CASE("a read of the operators' keys gets evacuations and their ends, with the age of the configuration", "[evacuation]")
{
    StoreCache cache;
    cache.recordFullRead({}, 4);
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
