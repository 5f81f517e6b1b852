#include <borageslip_core/time/ManualClock.h>
#include <borageslip_routing/borageslip_routing.h>
#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;
using enum AttemptOutcome::Kind;

namespace {

struct Fleet {
    explicit Fleet(EngineHash count)
        : engines(count)
        , ejector({})
    {
        for (EngineHash engine = 0; engine < count; ++engine)
            ejector.addEngine(engine);
    }

    /** Sends ten requests per second to each engine with a positive weight, and probes to the ejected ones. */
    void run(int seconds, EngineHash slowEngines, Duration slow)
    {
        for (int second = 0; second < seconds; ++second) {
            for (EngineHash engine = 0; engine < engines; ++engine) {
                const int requests = ejector.weight(engine) > 0 ? 10 : (ejector.tryProbe(engine, clock.now()) ? 1 : 0);
                for (int i = 0; i < requests; ++i)
                    ejector.record(engine, { FirstToken, WorkClass::Standard, engine < slowEngines ? slow : 100ms, clock.now() }, clock.now());
            }
            clock.advance(1s);
            for (const auto& change : ejector.evaluate(clock.now()))
                weights.push_back(change);
            mostLowered = std::max(mostLowered, ejector.loweredCount());
        }
    }

    EngineHash engines;
    EngineEjector ejector;
    ManualClock clock;
    std::vector<WeightChange> weights;
    size_t mostLowered = 0;
};

}

TEST_CASE("latency quantiles are accurate to within 10%, and old samples are discarded")
{
    ManualClock clock;
    LatencyTracker tracker;
    for (int i = 1; i <= 1000; ++i)
        tracker.record(i * 1ms, clock.now());
    CHECK(std::chrono::duration<double>(*tracker.quantile(0.5, clock.now())).count() == Approx(0.5).epsilon(0.1));
    CHECK(std::chrono::duration<double>(*tracker.quantile(0.99, clock.now())).count() == Approx(0.99).epsilon(0.1));
    CHECK_FALSE(tracker.quantile(0.5, clock.now(), 1001).has_value());
    clock.advance(20s);
    CHECK_FALSE(tracker.quantile(0.5, clock.now()).has_value());
}

TEST_CASE("the weight of a slow engine is lowered in steps and restored in steps after successful probes")
{
    Fleet fleet(10);
    fleet.run(30, 1, 1s);
    REQUIRE(fleet.weights.size() == 3);
    CHECK(fleet.weights[0].weight == 0.5);
    CHECK(fleet.weights[1].weight == 0.2);
    CHECK(fleet.weights[2].weight == 0);
    fleet.run(60, 0, 0s);
    REQUIRE(fleet.weights.size() == 6);
    CHECK(fleet.weights[3].weight == 0.2);
    CHECK(fleet.ejector.weight(0) == 1);
}

TEST_CASE("no more than 30% of a model's engines have a lowered weight at once, including those lowered by peers")
{
    Fleet fleet(10);
    fleet.run(60, 4, 2s);
    CHECK(fleet.mostLowered == 3);
    Fleet shared(10);
    shared.ejector.setFleetSize(20, 5);
    shared.run(60, 4, 2s);
    CHECK(shared.mostLowered == 1);
}

TEST_CASE("outcomes that say nothing about the engine do not lower its weight")
{
    Fleet fleet(10);
    fleet.run(6, 0, 0s);
    const auto now = fleet.clock.now();
    fleet.ejector.record(0, { FirstToken, WorkClass::Standard, 100ms, now, 2 }, now);
    for (int i = 0; i < 100; ++i) {
        fleet.ejector.record(0, { CallerAborted, WorkClass::Standard, 0s, now, 2 }, now);
        fleet.ejector.record(0, { CredentialExpired, WorkClass::Standard, 0s, now, 2 }, now);
        fleet.ejector.record(0, { EngineFailure, WorkClass::Standard, 0s, now, 1 }, now);
    }
    CHECK(fleet.ejector.evaluate(now).empty());
    for (int i = 0; i < 100; ++i)
        fleet.ejector.record(0, { EngineFailure, WorkClass::Standard, 0s, now, 2 }, now);
    CHECK(fleet.ejector.evaluate(now).size() == 1);
}

TEST_CASE("requests that started before a weight change do not lower the weight again")
{
    Fleet fleet(10);
    const auto early = fleet.clock.now();
    fleet.run(1, 1, 1s);
    REQUIRE(fleet.weights.size() == 1);
    for (int i = 0; i < 100; ++i)
        fleet.ejector.record(0, { FirstToken, WorkClass::Standard, 5s, early }, fleet.clock.now());
    fleet.run(30, 0, 0s);
    CHECK(fleet.weights.size() == 2);
    CHECK(fleet.ejector.weight(0) == 1);
}
