#include <borageslip_scheduling/borageslip_scheduling.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

const TimePoint s_begin { 100s };

}

// Guards against live servers that are taken out of service because their entries expired while the store was away.
TEST_CASE("keys that are missing when the store answers again may have expired during its outage")
{
    StoreOutage outage;
    CHECK(!outage.isAfterOutage(s_begin));
    outage.recordFailure(s_begin);
    CHECK(!outage.isAfterOutage(s_begin + 700ms));
    CHECK(outage.isAfterOutage(s_begin + 701ms));
    outage.recordFailure(s_begin + 3s);
    outage.recordAnswer(s_begin + 6s, s_begin + 6s);
    CHECK(outage.isAfterOutage(s_begin + 6299ms));
    CHECK(!outage.isAfterOutage(s_begin + 6300ms));
}

TEST_CASE("a short failure of the store is no outage")
{
    StoreOutage outage;
    outage.recordFailure(s_begin);
    outage.recordAnswer(s_begin + 600ms, s_begin + 600ms);
    CHECK(!outage.isAfterOutage(s_begin + 600ms));
    CHECK(!outage.isAfterOutage(s_begin + 2s));
}

// Guards against an old copy of the store, served by an instance that has not noticed the outage, that ends it.
TEST_CASE("a copy of the store shows that it is back only if the store answered after the failure")
{
    StoreOutage outage;
    outage.recordFailure(s_begin);
    outage.recordAnswer(s_begin - 1ms, s_begin + 1s);
    CHECK(outage.isAfterOutage(s_begin + 1s));
    outage.recordAnswer(s_begin + 1500ms, s_begin + 2s);
    CHECK(outage.isAfterOutage(s_begin + 2s));
    CHECK(!outage.isAfterOutage(s_begin + 2300ms));
}

TEST_CASE("keys may be missing right after the store came back from an older copy")
{
    StoreOutage outage;
    outage.recordRestore(s_begin);
    CHECK(outage.isAfterOutage(s_begin + 299ms));
    CHECK(!outage.isAfterOutage(s_begin + 300ms));
}
