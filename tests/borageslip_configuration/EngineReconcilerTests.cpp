#include "Fixtures.h"

#include <catch2/catch.hpp>
#include <random>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

const ModelId s_large("large");

struct SentOrder {
    std::string engine;
    EngineOrder order;
    uint64_t fencingNumber;
    TimePoint time;
};

/** Simulated engines. They execute orders immediately, except reloads, whose completion the test reports. */
struct Fleet : EngineReconciler::Engine, EngineReconciler::FleetView {
    Result<EngineReport> readState(const EngineSettings& engine) override
    {
        if (duringRead)
            std::exchange(duringRead, {})();
        return reports[engine.id];
    }
    Result<EngineReconciler::OrderState> send(const EngineSettings& engine, const EngineOrder& order, uint64_t fencingNumber) override
    {
        if (engine.checksFencing && fencingNumber < highest[engine.id])
            return Error { ErrorKind::LeaseLost, "outdated fencing number" };
        highest[engine.id] = fencingNumber;
        sent.push_back({ engine.id.text(), order, fencingNumber, clock.now() });
        auto& models = reports[engine.id].models;
        std::erase(models, order.model);
        // After a reload the engine serves the model again only when the test adds it to the report.
        if (order.kind == EngineOrder::Kind::LoadModel && !order.reducesCapacity)
            models.push_back(order.model);
        if (order.reducesCapacity)
            minEnginesServing = std::min(minEnginesServing, enginesServing(s_large).size());
        return EngineReconciler::OrderState::Running;
    }
    std::optional<EngineReport> latestReport(const EngineId& id) const override { return reports.at(id); }
    std::vector<EngineId> enginesServing(const ModelId& model) const override
    {
        std::vector<EngineId> serving;
        for (const auto& [id, report] : reports) {
            if (report.hasModel(model))
                serving.push_back(id);
        }
        return serving;
    }

    ManualClock clock;
    std::map<EngineId, EngineReport> reports;
    std::map<EngineId, uint64_t> highest;
    std::vector<SentOrder> sent;
    size_t minEnginesServing = 99;
    std::function<void()> duringRead;
};

struct Fixture {
    Fixture()
    {
        for (const auto* id : { "e1", "e2", "e3" })
            fleet.reports[EngineId(id)] = { { s_large }, false };
        REQUIRE(isOk(configuration.apply(1, sampleDocument().dump())));
    }

    EngineReconciler reconciler(const std::string& member, const std::string& engine, OrderLease& held)
    {
        return { { .self = MemberId(member) }, EngineId(engine), { fleet.clock, store, held, configuration, fleet, fleet } };
    }

    void run(EngineReconciler& reconciler, Duration time)
    {
        for (const auto end = fleet.clock.now() + time; fleet.clock.now() < end;)
            fleet.clock.advance(std::max(reconciler.step(), 100ms));
    }

    Fleet fleet;
    MemoryStore store { fleet.clock };
    ConfigurationHolder configuration;
    OrderLease lease { store };
    OrderLease otherLease { store };
};

}

TEST_CASE("an engine that does not check fencing numbers gets no order while an earlier holder may still send")
{
    Fixture fixture;
    auto first = fixture.reconciler("m1", "e1", fixture.lease);
    fixture.fleet.reports[EngineId("e1")].models.clear();
    fixture.run(first, 10s);
    REQUIRE(fixture.fleet.sent.size() == 1);
    fixture.fleet.reports[EngineId("e1")].models.clear();
    fixture.fleet.clock.advance(11s);
    const auto takenOver = fixture.fleet.clock.now();
    auto second = fixture.reconciler("m2", "e1", fixture.otherLease);
    fixture.run(second, 60s);
    REQUIRE(fixture.fleet.sent.size() == 2);
    CHECK(fixture.fleet.sent[1].time - takenOver >= 25s);
    CHECK(fixture.fleet.sent[1].fencingNumber > fixture.fleet.sent[0].fencingNumber);
}

TEST_CASE("a lost response of the store does not shorten the wait of a new lock holder")
{
    for (uint64_t lost = 1; lost <= 8; ++lost) {
        Fixture fixture;
        REQUIRE(isOk(fixture.store.acquire("borageslip/orders/e1", R"({"holder":"m0/x"})", value(fixture.store.createSession(10s)))));
        fixture.fleet.clock.advance(11s);
        fixture.fleet.reports[EngineId("e1")].models.clear();
        fixture.store.loseAnswerOfCall(fixture.store.calls() + lost, MemoryStore::LostAnswer::AfterEffect);
        const auto start = fixture.fleet.clock.now();
        auto reconciler = fixture.reconciler("m1", "e1", fixture.lease);
        fixture.run(reconciler, 120s);
        REQUIRE(fixture.fleet.sent.size() == 1);
        CHECK(fixture.fleet.sent[0].time - start >= 25s);
    }
}

TEST_CASE("a holder that was paused between its checks and the order does not send the outdated order")
{
    for (const auto* engine : { "e1", "e2" }) {
        Fixture fixture;
        fixture.fleet.reports[EngineId(engine)].models.clear();
        auto first = fixture.reconciler("m1", engine, fixture.lease);
        auto second = fixture.reconciler("m2", engine, fixture.otherLease);
        fixture.fleet.duringRead = [&] {
            fixture.fleet.clock.advance(14s);
            second.step();
            second.step();
        };
        while (first.state() != "idle" || fixture.fleet.duringRead)
            first.step();
        CHECK(fixture.fleet.sent.empty());
        fixture.run(second, 60s);
        CHECK(fixture.fleet.sent.size() == 1);
    }
}

TEST_CASE("no order is sent while the store is down")
{
    Fixture fixture;
    fixture.fleet.reports[EngineId("e2")].models.clear();
    fixture.store.setOutage(true);
    auto reconciler = fixture.reconciler("m1", "e2", fixture.lease);
    fixture.run(reconciler, 30s);
    CHECK(fixture.fleet.sent.empty());
    fixture.store.setOutage(false);
    fixture.run(reconciler, 30s);
    CHECK(fixture.fleet.sent.size() == 1);
}

TEST_CASE("a version change that several homes roll out never takes a model below minimum_engines")
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        Fixture fixture;
        std::mt19937_64 random(seed);
        OrderLease thirdLease(fixture.store);
        std::vector<EngineReconciler> reconcilers { fixture.reconciler("m1", "e1", fixture.lease), fixture.reconciler("m2", "e2", fixture.otherLease), fixture.reconciler("m3", "e3", thirdLease) };
        for (auto& reconciler : reconcilers)
            reconciler.step();
        auto document = sampleDocument();
        document["models"]["large"]["version"] = "2";
        REQUIRE(isOk(fixture.configuration.apply(2, document.dump())));
        std::vector<std::pair<TimePoint, EngineId>> reloading;
        size_t seen = 0;
        for (int i = 0; i < 2000 && fixture.fleet.sent.size() < 3; ++i) {
            reconcilers[random() % 3].step();
            fixture.fleet.clock.advance(std::chrono::milliseconds(random() % 1000));
            for (; seen < fixture.fleet.sent.size(); ++seen)
                reloading.emplace_back(fixture.fleet.clock.now() + 20s, EngineId(fixture.fleet.sent[seen].engine));
            std::erase_if(reloading, [&](const auto& entry) {
                if (fixture.fleet.clock.now() < entry.first)
                    return false;
                fixture.fleet.reports[entry.second].models = { s_large };
                return true;
            });
        }
        INFO("seed " << seed);
        REQUIRE(fixture.fleet.sent.size() == 3);
        REQUIRE(fixture.fleet.minEnginesServing == 2);
    }
}
