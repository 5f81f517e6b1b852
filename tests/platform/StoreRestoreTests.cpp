#include "../../platform/MemberLease.h"
#include "../../platform/StoreKeys.h"
#include "StoreWatcherCase.h"

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace borageslip::platform;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

bool isLeaseCall(const std::string& target, std::string_view call)
{
    return target.find(call) != std::string::npos;
}

/** A store with leases and one era, as its responses state it. */
class LeaseStore {
public:
    explicit LeaseStore(asio::io_context& context)
        : store(context, [this](const std::string& target) { return respond(target); })
    {
    }

    uint64_t era = 1;
    uint64_t eraOfRenewals = 0; ///< Other than the present one, from the first renewal on; 0 for none.
    uint64_t eraOfGrant = 0; ///< Of the next grant, if it is one of an earlier era.
    uint64_t nextLease = 7;
    ScriptedStore store;

private:
    StatusResponse respond(const std::string& target)
    {
        if (isLeaseCall(target, "kv-keep") && eraOfRenewals != 0)
            era = eraOfRenewals;
        if (target != "/borageslip/kv-lease")
            return withEra(era, { { "items", json::array() }, { "as_of", 1 } });
        const auto stated = eraOfGrant != 0 ? std::exchange(eraOfGrant, 0) : era;
        return withEra(stated, { { "lease", nextLease++ } });
    }
};

struct LeaseCase {
    LeaseCase() { lease.start(); }

    bool isWritten(size_t times)
    {
        return runUntil(context, caseLimit, [&] { return leases.store.count("kv-txn") >= times; });
    }

    asio::io_context context;
    ManualClock clock;
    StoreEras eras { clock };
    StoreCallCounts counts;
    LeaseStore leases { context };
    MemberLease lease { context.get_executor(), leases.store.endpoint(), counts, eras, "borageslip/members/a", "{}" };
};

}

// Guards against an instance that renews or ends the lease of another one, which has been granted under the same number.
TEST_CASE("a lease of an earlier era is neither renewed nor ended, and the record is written under a new one")
{
    LeaseCase test;
    REQUIRE(test.isWritten(1));
    test.leases.era = 2;
    test.leases.store.forgetCalls();
    test.eras.observe(2);
    REQUIRE(test.isWritten(1));
    test.context.run_for(2s);
    CHECK(test.leases.store.count("kv-keep/8") > 0);
    CHECK(test.leases.store.count("kv-keep/7") == 0);
    CHECK(test.leases.store.count("kv-lease-end") == 0);
}

// Guards against a renewal in flight across the change that is taken as one's own because its number exists in the new era.
TEST_CASE("a renewal that succeeds in a newer era does not keep the lease")
{
    LeaseCase test;
    REQUIRE(test.isWritten(1));
    test.leases.eraOfRenewals = 2;
    REQUIRE(test.isWritten(2));
    CHECK(test.leases.store.count("kv-keep/7") == 1);
    CHECK(test.eras.changeCount() == 1);
}

// Guards against a record that is attached to a lease of an earlier era, whose grant was in flight across the change.
TEST_CASE("no record is written under a lease that was granted in an earlier era")
{
    LeaseCase test;
    test.eras.observe(2);
    test.leases.era = 2;
    test.leases.eraOfGrant = 1;
    REQUIRE(test.isWritten(1));
    CHECK(test.leases.store.count("kv-lease") == 2);
}

// Guards against an instance that ends, when it stops, the lease of another one in an era that it has not noticed.
TEST_CASE("a stopping instance does not end a lease of an earlier era")
{
    for (const uint64_t era : { 1, 2 }) {
        LeaseCase test;
        REQUIRE(test.isWritten(1));
        test.context.run_for(100ms);
        test.leases.era = era;
        test.lease.stop();
        test.context.run_for(200ms);
        CHECK(test.leases.store.count("kv-lease-end/7") == (era == 1 ? 1 : 0));
    }
}

// Guards against changes that are lost because the watch goes on at a revision of the earlier era.
TEST_CASE("a watcher reads all keys again when the store states a newer era")
{
    for (const uint64_t revision : { 60, 100 }) { // One that the store answers with 410, and one that it has issued again.
        WatcherCase test;
        test.watcher.start();
        REQUIRE(test.hasValues(s_initial));
        test.store.set(2, revision, json::array({ row("a", "2", 50) }));
        REQUIRE(test.hasValues({ { "a", "2" } }));
        CHECK(test.listener.mayReturn == std::map<std::string, bool> { { "b", true } });
        CHECK(test.listener.eras == std::vector<uint64_t> { 2 });
        CHECK(test.watcher.cache().era() == 2);
        CHECK(test.eras.changeCount() == 1);
        // Two returns within seconds.
        test.store.set(4, 60, json::array({ row("b", "1", 50) }));
        REQUIRE(test.hasValues({ { "b", "1" } }));
        CHECK(test.listener.eras == std::vector<uint64_t> { 2, 4 });
    }
}

// Guards against all instances reading the store at the same moment, because they know of the new era before the readers that
// they follow.
TEST_CASE("a watcher waits for a source that has not noticed the new era, and reads the store only if that takes long")
{
    WatcherCase test(WatcherCase::Sources::Reader);
    test.watcher.start();
    REQUIRE(test.hasValues(s_initial));
    const auto synchronisations = test.listener.synchronisations;
    const auto storeItems = json::array({ row("a", "2", 50), row("b", "1", 51) });
    test.store.set(2, 60, storeItems);
    test.eras.observe(2);
    test.context.run_for(1s);
    CHECK(test.listener.values == s_initial);
    CHECK(test.store.store.count("kv-") == 0);
    CHECK(test.reader.store.count("kv-range") == 1);
    CHECK(test.reader.store.count("kv-watch") >= 3);
    // Data of the earlier era does not confirm anything.
    CHECK(test.listener.synchronisations == synchronisations);
    SECTION("the source notices it")
    {
        test.reader.set(2, 60, storeItems);
        REQUIRE(test.hasValues({ { "a", "2" }, { "b", "1" } }));
        CHECK(test.store.store.count("kv-") == 0);
    }
    SECTION("the source does not notice it")
    {
        test.clock.advance(2100ms);
        REQUIRE(test.hasValues({ { "a", "2" }, { "b", "1" } }));
        CHECK(test.store.store.count("kv-range") == 1);
    }
}

// Guards against the reverse: a source that has noticed the new era first, and one of the earlier era that is asked after it.
TEST_CASE("a watcher follows a source into the new era and takes no keys of an earlier one")
{
    WatcherCase test(WatcherCase::Sources::Reader);
    test.watcher.start();
    REQUIRE(test.hasValues(s_initial));
    test.reader.set(2, 60, json::array({ row("a", "2", 50) }));
    REQUIRE(test.hasValues({ { "a", "2" } }));
    CHECK(test.store.store.count("kv-") == 0);
    test.reader.set(1, 100, json::array({ row("a", "1", 90), row("b", "1", 95) }));
    test.context.run_for(1500ms);
    CHECK(test.listener.values == std::map<std::string, std::string> { { "a", "2" } });
}

// Guards against hedged reads whose answers cross the change: one of the new era must take effect at once and stay, one of the
// earlier era must not.
TEST_CASE("an item of a newer era takes effect before all keys of its era have been read")
{
    WatcherCase test;
    test.watcher.start();
    REQUIRE(test.hasValues(s_initial));
    StoreItem item { "a", "3", 70 };
    item.era = 2;
    test.watcher.apply(item);
    CHECK(test.listener.values["a"] == "3");
    StoreItem earlier { "a", "2", 50 };
    earlier.era = 2;
    test.watcher.apply(earlier);
    CHECK(test.listener.values["a"] == "3");
    // The read began before the change that the item contains.
    test.store.set(2, 60, json::array({ row("a", "2", 50), row("b", "1", 51) }));
    REQUIRE(runUntil(test.context, caseLimit, [&] { return test.watcher.cache().era() == 2; }));
    CHECK(test.listener.values["a"] == "3");
    StoreItem late { "a", "9", 99 };
    late.era = 1;
    test.watcher.apply(late);
    CHECK(test.listener.values["a"] == "3");
}

// Guards against an instance without prior state that mixes the keys of two eras while it starts.
TEST_CASE("an era that changes between two pages of the first read makes the watcher read all keys again")
{
    WatcherCase test;
    test.store.changesEraBetweenPages = true;
    test.watcher.start();
    REQUIRE(test.hasValues({ { "new", "2" } }));
    CHECK(test.watcher.cache().era() == 2);
    CHECK(test.listener.mayReturn.size() == 2);
    CHECK(test.listener.synchronisations > 0);
}
