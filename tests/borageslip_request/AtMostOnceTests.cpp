#include <borageslip_core/borageslip_core.h>
#include <borageslip_request/borageslip_request.h>

#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <latch>
#include <map>
#include <mutex>
#include <random>

using namespace borageslip;

namespace {

/** Thrown to simulate a daemon crash. Not derived from std::exception, so that no handler under test catches it. */
struct Crash { };

enum class Fault {
    None,
    Outage,
    AnswerLost, ///< The write is applied, but its result is lost.
    WriteLost, ///< The write is not applied, and its result is lost.
    WriteLate, ///< The write is applied before the second call after it; its result is lost.
    CrashBefore,
    CrashAfter,
};

/** In-memory store that injects the faults chosen by the test. */
class ScriptedStore final : public KeyValueStore {
public:
    std::function<Fault()> nextFault = [] { return Fault::None; };

    Result<StoreReading> read(std::string_view key) override
    {
        const std::lock_guard lock(m_mutex);
        applyLateWrites();
        const auto fault = nextFault();
        if (fault == Fault::CrashBefore || fault == Fault::CrashAfter)
            throw Crash {};
        if (fault != Fault::None)
            return Error { ErrorKind::StoreUnavailable, "outage" };
        const auto found = m_values.find(key);
        return found == m_values.end() ? StoreReading { {}, m_index } : StoreReading { found->second, m_index };
    }

    Result<uint64_t> compareAndSwap(std::string_view key, std::string_view bytes, uint64_t expected) override
    {
        return change([this, key = std::string(key), bytes = std::string(bytes), expected]() -> Result<uint64_t> {
            const auto found = m_values.find(key);
            if ((found == m_values.end() ? 0 : found->second.modifyIndex) != expected)
                return Error { ErrorKind::RevisionConflict, "changed" };
            m_values[key] = { key, bytes, ++m_index, "" };
            return m_index;
        });
    }

    Status remove(std::string_view key, uint64_t expected) override
    {
        const auto removed = change([this, key = std::string(key), expected]() -> Result<uint64_t> {
            const auto found = m_values.find(key);
            if (found == m_values.end() || found->second.modifyIndex != expected)
                return Error { ErrorKind::RevisionConflict, "changed" };
            m_values.erase(found);
            return ++m_index;
        });
        return isOk(removed) ? ok() : Status { error(removed) };
    }

    Result<StoreReading> watch(std::string_view key, uint64_t, std::chrono::milliseconds) override { return read(key); }
    Result<std::vector<StoredValue>> list(std::string_view) override { return unused(); }
    Result<std::string> createSession(std::chrono::milliseconds) override { return unused(); }
    Status renewSession(std::string_view) override { return unused(); }
    Status endSession(std::string_view) override { return unused(); }
    Result<uint64_t> acquire(std::string_view, std::string_view, std::string_view) override { return unused(); }
    Status release(std::string_view, std::string_view) override { return unused(); }

    int calls() const { return m_calls; }

private:
    using Change = std::function<Result<uint64_t>()>;

    static Error unused() { return { ErrorKind::Internal, "not used" }; }

    Result<uint64_t> change(const Change& apply)
    {
        const std::lock_guard lock(m_mutex);
        ++m_calls;
        applyLateWrites();
        const auto fault = nextFault();
        const Error lost { ErrorKind::StoreOutcomeUnknown, "lost" };
        if (fault == Fault::CrashBefore)
            throw Crash {};
        if (fault == Fault::Outage)
            return Error { ErrorKind::StoreUnavailable, "outage" };
        if (fault == Fault::WriteLate)
            m_late.emplace_back(2, apply);
        if (fault == Fault::WriteLost || fault == Fault::WriteLate)
            return lost;
        auto result = apply();
        if (fault == Fault::CrashAfter)
            throw Crash {};
        return fault == Fault::AnswerLost ? lost : result;
    }

    void applyLateWrites()
    {
        for (auto& [callsLeft, apply] : m_late) {
            if (--callsLeft == 0)
                static_cast<void>(apply());
        }
        std::erase_if(m_late, [](const auto& late) { return late.first <= 0; });
    }

    std::mutex m_mutex;
    std::map<std::string, StoredValue, std::less<>> m_values;
    uint64_t m_index = 0;
    int m_calls = 0;
    std::vector<std::pair<int, Change>> m_late;
};

enum class RunScript {
    Success,
    NotRun,
    RunThenLost,
    LostBefore,
    CrashBefore,
    CrashAfter,
};

struct TestFleet;

struct Daemon {
    Daemon(TestFleet&, const std::string& incarnation);
    Result<RecordedOutcome> call(const std::string& key, RunScript, AtMostOnceCall::Origin = AtMostOnceCall::Origin::Caller, const std::string& digest = "digest");

    TestFleet& fleet;
    OutcomeTable table;
    ClaimCoordinator claims;
    AtMostOnceExecutor executor;
};

/** A simulated fleet with one store and one backend server that counts the runs under each key. */
struct TestFleet {
    ManualClock clock;
    ScriptedStore store;
    TicketIssuer issuer { clock, { "key" } };
    std::map<std::string, std::unique_ptr<Daemon>> live;
    std::vector<std::unique_ptr<Daemon>> stopped; ///< Kept until the end of the test, because threads may still use them.
    std::map<std::string, std::string> successors;
    std::mutex mutex;
    std::map<std::string, int> runs;
    int started = 0;
    size_t tableBytes = 6000;

    Daemon& start()
    {
        const auto name = "d" + std::to_string(++started);
        return *(live[name] = std::make_unique<Daemon>(*this, name));
    }

    std::optional<std::string> resolve(std::string_view incarnation) const
    {
        std::string name(incarnation);
        for (auto next = successors.find(name); !live.contains(name) && next != successors.end(); next = successors.find(name))
            name = next->second;
        return live.contains(name) ? std::optional(name) : std::nullopt;
    }

    void crash(const std::string& name)
    {
        const auto node = live.extract(name);
        if (!node.empty())
            stopped.push_back(std::move(node.mapped()));
    }

    void handOver(const std::string& from, Daemon& to)
    {
        auto& table = live.at(from)->table;
        table.close();
        for (const auto& part : table.exportParts(600))
            REQUIRE(isOk(to.table.importPart(part)));
        successors[from] = to.table.incarnation();
        crash(from);
    }
};

class FakeRunner final : public AtMostOnceExecutor::Runner {
public:
    FakeRunner(TestFleet& fleet, std::string key, RunScript run, std::string digest)
        : m_fleet(fleet)
        , m_key(std::move(key))
        , m_script(run)
        , m_digest(std::move(digest))
    {
    }

    Result<RecordedOutcome> run() override
    {
        if (m_script == RunScript::CrashBefore)
            throw Crash {};
        if (m_script == RunScript::NotRun)
            return Error { ErrorKind::ServiceUnreachable, "refused" };
        if (m_script == RunScript::LostBefore)
            return Error { ErrorKind::ServiceFailed, "cut" };
        {
            const std::lock_guard lock(m_fleet.mutex);
            ++m_fleet.runs[m_key];
        }
        if (m_script == RunScript::CrashAfter)
            throw Crash {};
        if (m_script == RunScript::RunThenLost)
            return Error { ErrorKind::ConnectionSilent, "silent" };
        return RecordedOutcome { 201, { { "X-Booking", "1" } }, "booked " + m_key + std::string("\0\xff", 2) };
    }

    Result<RecordedOutcome> forward(std::string_view target) override
    {
        const std::string name(target);
        try {
            return m_fleet.live.at(name)->call(m_key, m_script, AtMostOnceCall::Origin::Peer, m_digest);
        } catch (const Crash&) {
            m_fleet.crash(name);
            m_fleet.start();
            return Error { ErrorKind::PeerConnectionLost, "crashed" };
        }
    }

private:
    TestFleet& m_fleet;
    const std::string m_key;
    const RunScript m_script;
    const std::string m_digest;
};

Daemon::Daemon(TestFleet& owner, const std::string& incarnation)
    : fleet(owner)
    , table(owner.clock, incarnation, { .maxBytes = owner.tableBytes })
    , claims(owner.store, owner.clock, incarnation, {})
    , executor(owner.clock, owner.issuer, table, claims, [&owner](std::string_view name) { return owner.resolve(name); })
{
}

Result<RecordedOutcome> Daemon::call(const std::string& key, RunScript run, AtMostOnceCall::Origin origin, const std::string& digest)
{
    FakeRunner runner(fleet, key, run, digest);
    return executor.execute({ .key = { AccountId("a"), key }, .requestDigest = digest, .origin = origin }, runner);
}

ErrorKind kindOf(const Result<RecordedOutcome>& result)
{
    REQUIRE_FALSE(isOk(result));
    return error(result).kind;
}

}

TEST_CASE("no random history of crashes, hand-overs, lost answers and outages runs a call twice")
{
    const auto violations = invariantViolations();
    for (unsigned seed = 0; seed < 5000; ++seed) {
        TestFleet fleet;
        std::mt19937 random(seed);
        fleet.tableBytes = 1600; // Room for about three outcomes, so that many are dropped.
        const auto pick = [&](unsigned bound) { return static_cast<unsigned>(random() % bound); };
        for (int i = 0; i < 3; ++i)
            fleet.start();
        std::vector<std::string> keys { "k1", "k2", "k3" };
        for (int i = 0; i < 5; ++i)
            keys.push_back(fleet.issuer.issue("d" + std::to_string(1 + i % 3)));
        fleet.store.nextFault = [&] { return pick(3) ? Fault::None : static_cast<Fault>(pick(7)); };
        for (int step = 0; step < 40; ++step) {
            fleet.clock.advance(std::chrono::minutes(1));
            auto at = std::next(fleet.live.begin(), pick(static_cast<unsigned>(fleet.live.size())));
            const auto name = at->first;
            const auto key = pick(8) ? keys[pick(8)] : keys.emplace_back(fleet.issuer.issue(name));
            if (pick(16) == 0)
                fleet.handOver(name, fleet.start());
            else {
                try {
                    const auto result = at->second->call(key, pick(2) ? RunScript::Success : static_cast<RunScript>(pick(6)));
                    INFO("seed " << seed << " step " << step << " key " << key << (isOk(result) ? "" : " " + error(result).detail));
                    if (isOk(result))
                        REQUIRE(value(result).body.starts_with("booked " + key));
                    // For an ordinary key, "not run" may refer to this call only, for example during a store outage.
                    const bool saysNotRun = !isOk(result) && !error(result).mayHaveRun();
                    if (saysNotRun && (TicketIssuer::isTicket(key) || error(result).kind == ErrorKind::ServiceUnreachable))
                        REQUIRE(fleet.runs[key] == 0);
                    REQUIRE((!isOk(result) || fleet.runs[key] == 1));
                } catch (const Crash&) {
                    fleet.crash(name);
                    fleet.start();
                }
            }
        }
        for (const auto& [key, count] : fleet.runs)
            REQUIRE(count <= 1);
    }
    CHECK(invariantViolations() == violations);
}

TEST_CASE("concurrent calls with the same key through two daemons run at most once")
{
    for (unsigned seed = 0; seed < 1000; ++seed) {
        TestFleet fleet;
        auto& first = fleet.start();
        auto& second = fleet.start();
        std::mt19937 random(seed);
        fleet.store.nextFault = [&] { return random() % 4 ? Fault::None : Fault::AnswerLost; };
        std::latch start(4);
        const auto call = [&](Daemon& daemon) {
            start.arrive_and_wait();
            return daemon.call("k", RunScript::Success);
        };
        std::vector<std::future<Result<RecordedOutcome>>> calls;
        for (auto* daemon : { &first, &second, &first, &second })
            calls.push_back(std::async(std::launch::async, call, std::ref(*daemon)));
        for (auto& pending : calls) {
            const auto result = pending.get();
            // A read that meets a fault fails as an outage, so a call may be refused; it must not run twice.
            CHECK((isOk(result) || !error(result).mayHaveRun() || error(result).kind == ErrorKind::OutcomeUnknown));
        }
        REQUIRE(fleet.runs["k"] <= 1);
    }
}

TEST_CASE("a retry after a crash at any point of a call with an ordinary key does not run it again")
{
    struct Case {
        int storeCall;
        Fault fault;
        RunScript run;
        std::optional<ErrorKind> repeat; ///< Empty if the repeat succeeds.
    };
    const auto row = GENERATE(Case { 1, Fault::CrashBefore, RunScript::Success, {} }, Case { 1, Fault::CrashAfter, RunScript::Success, ErrorKind::OutcomeUnknown },
        Case { 0, Fault::None, RunScript::CrashBefore, ErrorKind::OutcomeUnknown }, Case { 0, Fault::None, RunScript::CrashAfter, ErrorKind::OutcomeUnknown },
        Case { 2, Fault::CrashBefore, RunScript::Success, ErrorKind::OutcomeUnknown }, Case { 2, Fault::CrashAfter, RunScript::Success, {} });
    TestFleet fleet;
    int storeCall = 0;
    fleet.store.nextFault = [&] { return ++storeCall == row.storeCall ? row.fault : Fault::None; };
    CHECK_THROWS_AS(fleet.start().call("k", row.run), Crash);
    fleet.crash("d1");
    const auto repeat = fleet.start().call("k", RunScript::Success);
    CHECK(isOk(repeat) == !row.repeat);
    CHECK((!row.repeat || kindOf(repeat) == row.repeat));
    CHECK(fleet.runs["k"] <= 1);
}

TEST_CASE("without the store, calls with tickets succeed and calls with ordinary keys are refused as not run")
{
    TestFleet fleet;
    auto& daemon = fleet.start();
    fleet.store.nextFault = [] { return Fault::Outage; };
    CHECK(kindOf(daemon.call("k", RunScript::Success)) == ErrorKind::StoreUnavailable);
    const int calls = fleet.store.calls();
    const auto ticket = fleet.issuer.issue("d1");
    const auto first = daemon.call(ticket, RunScript::Success);
    REQUIRE(isOk(first));
    CHECK(value(daemon.call(ticket, RunScript::Success)) == value(first));
    CHECK(fleet.store.calls() == calls);
    fleet.store.nextFault = [] { return Fault::None; };
    CHECK(isOk(daemon.call("k", RunScript::Success)));
    CHECK(fleet.runs == std::map<std::string, int> { { "k", 1 }, { ticket, 1 } });
}

TEST_CASE("an outcome that could not be written back is written when the store has recovered")
{
    TestFleet fleet;
    auto& daemon = fleet.start();
    int storeCall = 0;
    fleet.store.nextFault = [&] { return ++storeCall == 1 ? Fault::None : Fault::Outage; };
    const auto first = daemon.call("k", RunScript::Success);
    CHECK(daemon.executor.flushWriteBacks() == 1);
    fleet.store.nextFault = [] { return Fault::None; };
    CHECK(daemon.executor.flushWriteBacks() == 0);
    fleet.crash("d1");
    CHECK(value(fleet.start().call("k", RunScript::Success)) == value(first));
}

TEST_CASE("a key reused for another request is refused by the daemon's table and by the store")
{
    TestFleet fleet;
    REQUIRE(isOk(fleet.start().call("k", RunScript::Success)));
    for (auto* daemon : { fleet.live["d1"].get(), &fleet.start() })
        CHECK(kindOf(daemon->call("k", RunScript::Success, AtMostOnceCall::Origin::Caller, "other")) == ErrorKind::IdempotencyKeyReused);
}

TEST_CASE("a successor distinguishes unused tickets from those with a known or an unknown outcome")
{
    TestFleet fleet;
    auto& leaving = fleet.start();
    const auto used = fleet.issuer.issue("d1");
    const auto lost = fleet.issuer.issue("d1");
    const auto unused = fleet.issuer.issue("d1");
    REQUIRE(isOk(leaving.call(used, RunScript::Success)));
    CHECK(kindOf(leaving.call(lost, RunScript::RunThenLost)) == ErrorKind::OutcomeUnknown);
    SECTION("after a hand-over")
    {
        auto& successor = fleet.start();
        fleet.handOver("d1", successor);
        for (auto* daemon : { &successor, &fleet.start() }) {
            CHECK(isOk(daemon->call(used, RunScript::Success)));
            CHECK(kindOf(daemon->call(lost, RunScript::Success)) == ErrorKind::OutcomeUnknown);
            CHECK(kindOf(daemon->call(unused, RunScript::Success)) == ErrorKind::Draining);
        }
    }
    SECTION("after a crash")
    {
        fleet.crash("d1");
        for (const auto& ticket : { used, lost, unused })
            CHECK(kindOf(fleet.start().call(ticket, RunScript::Success)) == ErrorKind::OutcomeUnknown);
    }
    SECTION("a part of the hand-over is missing")
    {
        auto& successor = fleet.start();
        leaving.table.close();
        REQUIRE(leaving.table.exportParts(1).size() == 2);
        REQUIRE(isOk(successor.table.importPart(leaving.table.exportParts(1)[0])));
        CHECK(kindOf(successor.call(unused, RunScript::Success)) == ErrorKind::OutcomeUnknown);
    }
    CHECK(fleet.runs[used] + fleet.runs[unused] == 1);
}

TEST_CASE("a ticket whose outcome was evicted for space or age is refused instead of run again")
{
    TestFleet fleet;
    auto& daemon = fleet.start();
    const auto first = fleet.issuer.issue("d1");
    REQUIRE(isOk(daemon.call(first, RunScript::Success)));
    const bool isForAge = GENERATE(true, false);
    fleet.clock.advance(isForAge ? std::chrono::hours(24) : std::chrono::hours(1));
    for (int i = 0; i < 20 && !isForAge; ++i) {
        fleet.clock.advance(std::chrono::milliseconds(1));
        REQUIRE(isOk(daemon.call(fleet.issuer.issue("d1"), RunScript::Success)));
    }
    CHECK(daemon.table.bytes() <= 6000);
    CHECK(kindOf(daemon.call(first, RunScript::Success)) == ErrorKind::OutcomeUnknown);
    fleet.clock.advance(std::chrono::milliseconds(1));
    CHECK(isOk(daemon.call(fleet.issuer.issue("d1"), RunScript::Success)));
    CHECK(fleet.runs[first] == 1);
}

TEST_CASE("a ticket that was altered or signed with a retired key is refused")
{
    const ManualClock clock;
    const TicketIssuer old(clock, { "k1" });
    const auto ticket = old.issue("10.0.0.1:80#3");
    const auto verified = TicketIssuer(clock, { "k2", "k1" }).verify(ticket);
    REQUIRE(isOk(verified));
    CHECK(value(verified).incarnation == "10.0.0.1:80#3");
    CHECK_FALSE(isOk(TicketIssuer(clock, { "k3", "k2" }).verify(ticket)));
    for (size_t i = 0; i < ticket.size(); ++i) {
        auto altered = ticket;
        altered[i] = altered[i] == '0' ? '1' : '0';
        CHECK_FALSE(isOk(old.verify(altered)));
        CHECK_FALSE(isOk(old.verify(ticket.substr(0, i))));
    }
}

TEST_CASE("in the attempt state chart, only the backend server's own statement leads back to not run")
{
    const auto& chart = StateChart::named("attempt");
    std::set<std::string, std::less<>> known;
    for (const auto event : attemptEvents())
        known.emplace(attemptEventName(event));
    for (const auto& [name, state] : chart.states()) {
        for (const auto& [event, target] : state.transitions) {
            INFO(name << " " << event);
            CHECK(known.contains(event));
            const bool losesFlag = state.flags.contains("may-have-run") && !chart.states().at(target).flags.contains("may-have-run");
            CHECK((!losesFlag || (event == "not-run" && name == "sent")));
        }
    }
    Attempt attempt;
    REQUIRE(isOk(attempt.fire(AttemptEvent::Send)));
    const auto violations = invariantViolations();
    CHECK(attempt.checkedError({ ErrorKind::ServiceUnreachable, "" }).kind == ErrorKind::OutcomeUnknown);
    CHECK(invariantViolations() == violations + 1);
}
