#include "../../platform/ColdShareLease.h"
#include "../../platform/StoreKeys.h"
#include "ScriptedStore.h"

#include <borageslip_core/time/ManualClock.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace borageslip::platform;
using namespace std::chrono_literals;
namespace asio = boost::asio;

// Guards against a store that is read without a pause because its answers are of an earlier era than one before.
TEST_CASE("answers of an earlier era are not asked for without a pause")
{
    initialiseLog(Severity::Error, "tests");
    asio::io_context context;
    ManualClock clock;
    bool isRestored = false;
    ScriptedStore store(context, [&](const std::string& target) {
        const std::vector<std::pair<std::string, std::string>> fields { { storeEraHeader, isRestored ? "1" : "2" } };
        if (target.find("kv-range") != std::string::npos)
            return StatusResponse { 200, "application/json", R"({"items":[],"as_of":5})", fields };
        if (target.ends_with("kv-lease"))
            return StatusResponse { 200, "application/json", R"({"lease":7,"ttl_ms":4000})", fields };
        // The key exists, which the instance has to read.
        isRestored = true;
        return StatusResponse { 412, {}, {}, fields };
    });
    StoreCallCounts counts;
    ColdShareRights rights;
    ColdShareLease lease(clock, context.get_executor(), store.endpoint(), counts, rights, "entry-1", { asio::ip::address_v4::loopback(), 1 });
    lease.keeper().setInstanceCount(1);
    lease.keeper().setWanted({ { "pool", 0 } });
    lease.start();
    REQUIRE(runUntil(context, 10s, [&] {
        clock.advance(20ms);
        return isRestored;
    }));
    store.forgetCalls();
    context.run_for(1s);
    CHECK(store.count("kv-") > 0);
    CHECK(store.count("kv-") <= 10);
}
