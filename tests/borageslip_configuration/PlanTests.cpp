#include "Fixtures.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <random>
#include <thread>

using namespace borageslip;

namespace {

Intent intentOf(const nlohmann::json& patch)
{
    return { patch, "operator", "a test" };
}

nlohmann::json queueLimit(int limit)
{
    return { { "limits", { { "queue_limit", limit } } } };
}

struct Fixture {
    Fixture() { REQUIRE(isOk(store.compareAndSwap(configurationKey, sampleDocument().dump(), 0))); }

    Plan plan(const nlohmann::json& patch) { return value(PlanBuilder().build(intentOf(patch), value(readPlanBase(store)))); }
    Result<Confirmation> confirm(const Plan& plan) { return PlanConfirmation(store, clock, {}).confirm(plan); }
    nlohmann::json stored() { return nlohmann::json::parse(value(store.read(configurationKey)).value->bytes); }

    ManualClock clock;
    MemoryStore store { clock };
};

/** Runs several threads one at a time, from one store call to the next, in an order that depends on a seed. */
class InterleavingScheduler {
public:
    InterleavingScheduler(uint64_t seed, size_t threads)
        : m_random(seed)
        , m_running(threads)
    {
    }

    void waitForTurn()
    {
        std::unique_lock lock(m_mutex);
        const auto id = std::this_thread::get_id();
        m_waiting.push_back(id);
        --m_running;
        chooseNext();
        m_wake.wait(lock, [&] { return m_next == id; });
        m_next = {};
    }

    void finish()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        chooseNext();
    }

private:
    void chooseNext()
    {
        if (m_running > 0 || m_waiting.empty())
            return;
        const auto chosen = std::uniform_int_distribution<size_t>(0, m_waiting.size() - 1)(m_random);
        m_next = m_waiting[chosen];
        m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(chosen));
        m_running = 1;
        m_wake.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::mt19937_64 m_random;
    std::vector<std::thread::id> m_waiting;
    std::thread::id m_next;
    size_t m_running;
};

void checkRaces(uint64_t firstSeed, uint64_t lastSeed)
{
    constexpr size_t operators = 3;
    // Every fixture starts with the same document and revision, so the plans can be reused for all seeds.
    std::vector<Plan> plans;
    for (size_t i = 0; i < operators; ++i)
        plans.push_back(Fixture().plan(queueLimit(static_cast<int>(i) + 1)));
    for (uint64_t seed = firstSeed; seed <= lastSeed; ++seed) {
        Fixture fixture;
        std::mt19937_64 random(seed);
        for (int i = 0; i < 2; ++i)
            fixture.store.loseAnswerOfCall(fixture.store.calls() + 1 + random() % 12, random() % 2 ? MemoryStore::LostAnswer::AfterEffect : MemoryStore::LostAnswer::BeforeEffect);
        InterleavingScheduler scheduler(seed, operators);
        fixture.store.setBeforeCall([&](uint64_t, PlatformCall) { scheduler.waitForTurn(); });
        std::vector<Result<Confirmation>> results(operators, Confirmation {});
        {
            std::vector<std::jthread> threads;
            for (size_t i = 0; i < operators; ++i)
                threads.emplace_back([&, i] {
                    results[i] = fixture.confirm(plans[i]);
                    scheduler.finish();
                });
        }
        fixture.store.setBeforeCall({});
        fixture.store.clearFaults();
        const auto winner = fixture.stored().value("plan", "");
        INFO("seed " << seed);
        for (size_t i = 0; i < operators; ++i) {
            const bool isWinner = plans[i].identity == winner;
            // A definite result must agree with the store.
            if (isOk(results[i]))
                REQUIRE(isWinner);
            if (!isOk(results[i]) && error(results[i]).kind == ErrorKind::StalePlan)
                REQUIRE_FALSE(isWinner);
        }
        size_t confirmed = 0;
        for (const auto& plan : plans)
            confirmed += isOk(fixture.confirm(plan));
        REQUIRE(confirmed == 1);
        if (!winner.empty())
            REQUIRE(fixture.stored().value("plan", "") == winner);
    }
}

}

TEST_CASE("a plan lists every effect of its intent, and a breach must be accepted to confirm it")
{
    Fixture fixture;
    const auto context = PlanContext { { AccountId("b") } };
    const auto patch = nlohmann::json::parse(R"({"models":{"large":{"engines":["e1"]}},"accounts":{"b":null}})");
    const auto plan = value(PlanBuilder(context).build(intentOf(patch), value(readPlanBase(fixture.store))));
    REQUIRE(plan.changes.size() == 2);
    CHECK(plan.changes[0].path == "/accounts/b");
    CHECK_FALSE(plan.changes[0].after);
    CHECK(plan.engines.size() == 2);
    CHECK(plan.capacity[0].slotsAfter == 8);
    CHECK(plan.capacity[0].movedChatShare == Approx(2.0 / 3));
    CHECK(plan.hasBreach());
    CHECK(error(fixture.confirm(plan)).kind == ErrorKind::InvalidIntent);
    CHECK(fixture.stored() == sampleDocument());
    CHECK(isOk(PlanConfirmation(fixture.store, fixture.clock, { .context = context, .breaches = PlanConfirmation::BreachPolicy::Accept }).confirm(plan)));
}

TEST_CASE("the predicted share of chats that move agrees with the rendezvous scores of the placement")
{
    const std::map<EngineId, double> before { { EngineId("a"), 1 }, { EngineId("b"), 2 }, { EngineId("c"), 1 } };
    const std::map<EngineId, double> after { { EngineId("a"), 1 }, { EngineId("b"), 1 }, { EngineId("d"), 3 } };
    const auto winner = [](uint64_t key, const std::map<EngineId, double>& weights) {
        return std::ranges::max_element(weights, {}, [&](const auto& entry) { return rendezvousScore(key, hashBytes(entry.first.text()), entry.second); })->first;
    };
    int moved = 0;
    for (uint64_t key = 0; key < 20000; ++key)
        moved += winner(hashPair(key, 1), before) != winner(hashPair(key, 1), after);
    CHECK(movedShare(before, after) == Approx(moved / 20000.0).margin(0.02));
}

TEST_CASE("a plan file that was modified is rejected")
{
    Fixture fixture;
    auto json = fixture.plan(queueLimit(5)).toJson();
    CHECK(isOk(Plan::parse(json.dump())));
    json["intent"]["patch"]["limits"]["queue_limit"] = 6;
    CHECK(error(fixture.confirm(value(Plan::parse(json.dump())))).kind == ErrorKind::InvalidIntent);
    CHECK(error(Intent::parse(R"({"patch":{"plan":"x"},"operator":"o","reason":"r"})")).kind == ErrorKind::InvalidIntent);
    CHECK(error(Intent::parse(R"({"patch":{},"reason":"r"})")).detail.find("operator") != std::string::npos);
}

TEST_CASE("a lost response to any store call leaves one definite outcome, and repeating the confirmation is safe")
{
    for (const auto when : { MemoryStore::LostAnswer::BeforeEffect, MemoryStore::LostAnswer::AfterEffect }) {
        for (uint64_t lost = 1; lost <= 8; ++lost) {
            Fixture fixture;
            const auto plan = fixture.plan(queueLimit(5));
            fixture.store.loseAnswerOfCall(fixture.store.calls() + lost, when);
            const auto first = fixture.confirm(plan);
            fixture.store.clearFaults();
            CHECK((isOk(first) || error(first).kind == ErrorKind::StoreUnavailable));
            CHECK(isOk(first) == (fixture.stored().value("plan", "") == plan.identity));
            const auto second = fixture.confirm(plan);
            REQUIRE(isOk(second));
            CHECK(value(fixture.confirm(plan)).revision == value(second).revision);
        }
    }
}

TEST_CASE("after an outage right after the write the outcome is unknown, and a later confirmation finds it, even if other plans followed")
{
    Fixture fixture;
    const auto plan = fixture.plan(queueLimit(5));
    const auto write = fixture.store.calls() + 3;
    fixture.store.loseAnswerOfCall(write, MemoryStore::LostAnswer::AfterEffect);
    fixture.store.setOutageAfterCall(write);
    CHECK(error(fixture.confirm(plan)).kind == ErrorKind::StoreOutcomeUnknown);
    fixture.store.setOutage(false);
    REQUIRE(isOk(fixture.confirm(fixture.plan(queueLimit(6)))));
    REQUIRE(isOk(fixture.confirm(fixture.plan(queueLimit(7)))));
    const auto found = fixture.confirm(plan);
    REQUIRE(isOk(found));
    CHECK(value(found).isSuperseded);
    CHECK(fixture.stored()["limits"]["queue_limit"] == 7);
}

TEST_CASE("a stale plan is rejected with the changes since its base")
{
    Fixture fixture;
    const auto late = fixture.plan(queueLimit(9));
    REQUIRE(isOk(fixture.confirm(fixture.plan(queueLimit(5)))));
    const auto result = fixture.confirm(late);
    CHECK(error(result).kind == ErrorKind::StalePlan);
    CHECK(error(result).detail.find("/limits") != std::string::npos);
}

TEST_CASE("undo reverts one plan and fails if later plans changed the same fields")
{
    Fixture fixture;
    const auto first = fixture.plan(queueLimit(5));
    REQUIRE(isOk(fixture.confirm(first)));
    REQUIRE(isOk(fixture.confirm(fixture.plan({ { "accounts", { { "b", nullptr } } } }))));
    const ConfigurationHistory history(fixture.store, fixture.clock);
    const auto undoFirst = history.undoIntent(first.identity, "operator", "undo");
    REQUIRE(isOk(undoFirst));
    REQUIRE(isOk(fixture.confirm(fixture.plan(value(undoFirst).patch))));
    CHECK_FALSE(fixture.stored().contains("limits"));
    CHECK_FALSE(fixture.stored()["accounts"].contains("b"));
    CHECK(error(history.undoIntent(first.identity, "operator", "again")).kind == ErrorKind::StalePlan);
    REQUIRE(isOk(fixture.confirm(fixture.plan(value(history.undoIntent("", "operator", "redo")).patch))));
    CHECK(fixture.stored()["limits"]["queue_limit"] == 5);
    CHECK(value(history.entriesBefore(fixture.stored(), 10)).size() == 4);
}

TEST_CASE("exactly one of several concurrent plans on the same base takes effect, whichever responses are lost: seeds 1 to 1000")
{
    checkRaces(1, 1000);
}

TEST_CASE("exactly one of several concurrent plans on the same base takes effect, whichever responses are lost: seeds 1001 to 2000")
{
    checkRaces(1001, 2000);
}

TEST_CASE("exactly one of several concurrent plans on the same base takes effect, whichever responses are lost: seeds 2001 to 3000")
{
    checkRaces(2001, 3000);
}
