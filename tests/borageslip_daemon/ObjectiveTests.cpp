#include <borageslip_daemon/metrics/ObjectiveMeter.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

const ObjectiveCaller s_caller { "chat", AccountId("account-1"), 5 };

struct Setup {
    ManualClock clock;
    Metrics metrics;
    ObjectiveTracker tracker { clock.now() };

    nlohmann::json objective(size_t index) const { return tracker.describe(clock.now())["objectives"][index]; }
};

}

TEST_CASE("A count drops out of the fast window after 5 minutes and out of the slow window after an hour")
{
    CountRing ring(120, 30s);
    const TimePoint start { 100h };
    ring.add({ 1, 2 }, start);
    CHECK(ring.sum(300s, start + 299s) == ObjectiveCounts { 1, 2 });
    CHECK(ring.sum(300s, start + 301s) == ObjectiveCounts {});
    CHECK(ring.sum(3600s, start + 3599s) == ObjectiveCounts { 1, 2 });
    CHECK(ring.sum(3600s, start + 3601s) == ObjectiveCounts {});
    ring.add({ 1, 0 }, start + 2h);
    CHECK(ring.sum(start + 2h) == ObjectiveCounts { 1, 0 });
}

TEST_CASE("An event recorded after the next interval has begun is not lost and does not clear newer counts")
{
    CountRing ring(4, 30s);
    const TimePoint start { 100h };
    ring.add({ 1, 0 }, start + 30s);
    ring.add({ 0, 1 }, start + 29s);
    CHECK(ring.sum(start + 30s) == ObjectiveCounts { 1, 1 });
}

TEST_CASE("The default objectives count tokens at and beyond their exact time limits")
{
    Setup setup;
    const auto start = setup.clock.now();
    ObjectiveMeter meter(setup.tracker, setup.metrics, s_caller, start);
    meter.setEngine(EngineId("engine-1"));
    meter.token(start + 2s);
    meter.token(start + 2s + 43ms);
    meter.token(start + 2s + 87ms);
    meter.ended(std::nullopt, start + 3s);
    CHECK(setup.objective(0)["fast"] == nlohmann::json { { "met", 1 }, { "missed", 0 } });
    CHECK(setup.objective(1)["fast"] == nlohmann::json { { "met", 1 }, { "missed", 1 } });
    CHECK(setup.objective(1)["causes"]["engines"]["engine-1"]["slow"] == 1);
    CHECK(setup.metrics.text().find("borageslip_objective_events_total{met=\"false\",objective=\"between-tokens\"} 1") != std::string::npos);
}

TEST_CASE("A failure of the fleet counts once, and an error of the caller does not count")
{
    Setup setup;
    const auto now = setup.clock.now();
    for (const auto kind : { ErrorKind::Overloaded, ErrorKind::RateLimited, ErrorKind::Cancelled }) {
        ObjectiveMeter meter(setup.tracker, setup.metrics, s_caller, now);
        meter.ended(kind, now);
        meter.ended(kind, now);
    }
    CHECK(setup.objective(0)["fast"] == nlohmann::json { { "met", 0 }, { "missed", 1 } });
    CHECK(setup.objective(0)["causes"]["kinds"].size() == 1);
    CHECK(setup.objective(0)["causes"]["kinds"].contains("overloaded"));
    CHECK(setup.objective(0)["causes"]["engines"].empty());
}

TEST_CASE("Objectives of a service, an account or a priority count only their own calls")
{
    Objective objective;
    CHECK(appliesTo(objective, { "booking", AccountId("a"), 5 }));
    objective.firstToken = 2s;
    CHECK_FALSE(appliesTo(objective, { "booking", AccountId("a"), 5 }));
    objective.service = "booking";
    objective.account = AccountId("a");
    objective.priority = 3;
    CHECK(appliesTo(objective, { "booking", AccountId("a"), 3 }));
    CHECK_FALSE(appliesTo(objective, { "booking", AccountId("b"), 3 }));
    CHECK_FALSE(appliesTo(objective, { "booking", AccountId("a"), 5 }));
    CHECK_FALSE(appliesTo(objective, { "chat", AccountId("a"), 3 }));
}

TEST_CASE("The number of causes stays bounded, and causes without recent events are removed")
{
    Setup setup;
    auto now = setup.clock.now();
    const auto miss = [&](int account) {
        ObjectiveMeter meter(setup.tracker, setup.metrics, { "chat", AccountId("a" + std::to_string(account)), 5 }, now);
        meter.ended(ErrorKind::Overloaded, now);
    };
    for (int i = 0; i < 10000; ++i)
        miss(i);
    CHECK(setup.tracker.causes() <= ObjectiveTracker::maxCauses + 3);
    CHECK(setup.objective(0)["causes"]["accounts"]["other"]["slow"] > 0);
    now += 2h;
    setup.clock.advance(2h);
    miss(20000);
    CHECK(setup.tracker.causes() <= 3);
    CHECK(setup.objective(0)["causes"]["accounts"].contains("a20000"));
}

TEST_CASE("A new configuration keeps the counts of unchanged objectives and ignores late events of replaced ones")
{
    Setup setup;
    const auto now = setup.clock.now();
    ObjectiveMeter meter(setup.tracker, setup.metrics, s_caller, now);
    meter.token(now + 1s);
    meter.ended(std::nullopt, now + 1s);
    ObjectiveMeter late(setup.tracker, setup.metrics, s_caller, now);
    auto objectives = defaultObjectives();
    objectives[1].betweenTokens = 60ms;
    setup.tracker.setObjectives(objectives);
    late.token(now + 1s);
    late.ended(std::nullopt, now + 1s);
    CHECK(setup.objective(0)["slow"] == nlohmann::json { { "met", 1 }, { "missed", 0 } });
}
