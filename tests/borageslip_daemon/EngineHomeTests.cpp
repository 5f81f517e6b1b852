#include <borageslip_daemon/borageslip_daemon.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<const FleetView> makeFleet(const std::vector<std::string>& members)
{
    const auto configuration = FleetConfiguration::parse(R"({
        "models": { "m": { "engines": ["e1", "e2", "e3", "e4"] } },
        "engines": { "e1": { "address": "127.0.0.1:1", "slots": 4 }, "e2": { "address": "127.0.0.1:2", "slots": 4 },
                     "e3": { "address": "127.0.0.1:3", "slots": 4 }, "e4": { "address": "127.0.0.1:4", "slots": 4 } },
        "accounts": {} })");
    REQUIRE(isOk(configuration));
    std::vector<Member> list;
    for (const auto& id : members) {
        Member member;
        member.id = MemberId(id);
        list.push_back(member);
    }
    return std::make_shared<const FleetView>(value(configuration), std::make_shared<const std::vector<Member>>(list), Region());
}

AdmissionQuery query(const std::string& request, const std::string& engine, bool isRedirectable, TimePoint now)
{
    AdmissionQuery query;
    query.request = RequestId(request);
    query.account = AccountId("a");
    query.model = ModelId("m");
    query.engine = EngineId(engine);
    query.deadline = now + 30s;
    query.isRedirectable = isRedirectable;
    return query;
}

template <typename Reply>
bool holds(const std::optional<AdmissionReply>& reply) { return reply && std::holds_alternative<Reply>(*reply); }

/** Reports every engine as available and idle, as the monitor does after a change of home. */
void observeAll(EngineHome& home, TimePoint now)
{
    for (const std::string engine : { "e1", "e2", "e3", "e4" })
        home.observe({ EngineId(engine), true, false, 0, { ModelId("m") } }, now);
}

struct Fixture {
    Fixture()
        : home(MemberId("d1"))
    {
        home.update(*makeFleet({ "d1" }));
        home.setMeanLoad(ModelId("m"), 4);
        observeAll(home, clock.now());
    }

    std::optional<AdmissionReply> admit(const std::string& request, const std::string& engine = "e1", bool isRedirectable = false)
    {
        return home.admit(query(request, engine, isRedirectable, clock.now()), clock.now());
    }

    void reportAvailable(const std::string& engine)
    {
        home.observe({ EngineId(engine), true, false, 0, { ModelId("m") } }, clock.now());
        home.tick(clock.now());
    }

    ManualClock clock;
    EngineHome home;
};

}

TEST_CASE("every engine has exactly one home and only the home admits work to it")
{
    const auto fleet = makeFleet({ "d1", "d2", "d3" });
    ManualClock clock;
    int admissions = 0;
    for (const std::string member : { "d1", "d2", "d3" }) {
        EngineHome home { MemberId(member) };
        home.update(*fleet);
        home.setMeanLoad(ModelId("m"), 4);
        observeAll(home, clock.now());
        for (const std::string engine : { "e1", "e2", "e3", "e4" })
            admissions += holds<Admitted>(home.admit(query("r-" + engine, engine, true, clock.now()), clock.now()));
    }
    CHECK(admissions == 4);
}

TEST_CASE("a leaving engine gets no new work from the moment it is seen leaving")
{
    Fixture fixture;
    CHECK(holds<Admitted>(fixture.admit("r1")));
    fixture.home.observe({ EngineId("e1"), true, true, 1, { ModelId("m") } }, fixture.clock.now());
    CHECK(holds<Redirected>(fixture.admit("r2", "e1", true)));
    const auto last = fixture.admit("r3", "e1", false);
    REQUIRE(holds<Error>(last));
    CHECK_FALSE(std::get<Error>(*last).mayHaveRun());
}

TEST_CASE("a home that was paused sends no work to an engine that may have left during the pause")
{
    Fixture fixture;
    fixture.reportAvailable("e1");
    CHECK(holds<Admitted>(fixture.admit("r1", "e1", true)));
    fixture.clock.advance(3s);
    CHECK(holds<Redirected>(fixture.admit("r2", "e1", true)));
    fixture.reportAvailable("e1");
    CHECK(holds<Admitted>(fixture.admit("r3", "e1", true)));
}

TEST_CASE("an engine with a new home gets no work before its first load report, because it may be leaving")
{
    ManualClock clock;
    EngineHome home { MemberId("d1") };
    home.update(*makeFleet({ "d1" }));
    CHECK(holds<Redirected>(home.admit(query("r1", "e1", true, clock.now()), clock.now())));
    observeAll(home, clock.now());
    CHECK(holds<Admitted>(home.admit(query("r2", "e1", true, clock.now()), clock.now())));
}

TEST_CASE("one lost load report makes an engine unavailable only until the next report")
{
    Fixture fixture;
    fixture.home.observe({ EngineId("e1"), false, false, 0, {} }, fixture.clock.now());
    CHECK(holds<Redirected>(fixture.admit("r1", "e1", true)));
    fixture.reportAvailable("e1");
    CHECK(holds<Admitted>(fixture.admit("r2", "e1", true)));
}

TEST_CASE("a flapping engine gets no work during its cooldown and is available again afterwards")
{
    Fixture fixture;
    for (int flap = 0; flap < 2; ++flap) {
        fixture.home.observe({ EngineId("e1"), false, false, 0, {} }, fixture.clock.now());
        fixture.clock.advance(1s);
        fixture.reportAvailable("e1");
    }
    CHECK(holds<Redirected>(fixture.admit("r1", "e1", true)));
    fixture.clock.advance(30s);
    // The monitor reports each second; without a recent report, the home admits nothing.
    fixture.reportAvailable("e1");
    CHECK(holds<Admitted>(fixture.admit("r2", "e1", true)));
}

TEST_CASE("an idle engine admits its first request after load reports, so that a returning chat keeps its engine")
{
    Fixture fixture;
    fixture.home.setMeanLoad(ModelId("m"), 0);
    for (int report = 0; report < 3; ++report) {
        fixture.home.observe({ EngineId("e1"), true, false, 0, { ModelId("m") } }, fixture.clock.now());
        fixture.home.tick(fixture.clock.now());
        fixture.clock.advance(1s);
    }
    REQUIRE(holds<Admitted>(fixture.admit("r1", "e1", true)));
    fixture.home.setReportedRunning(EngineId("e1"), 1, fixture.clock.now());
    RunReport report;
    report.request = RequestId("r1");
    report.engine = EngineId("e1");
    report.account = AccountId("a");
    fixture.home.finish(report, fixture.clock.now());
    // The report was made while r1 still ran.
    fixture.home.observe({ EngineId("e1"), true, false, 1, { ModelId("m") } }, fixture.clock.now());
    fixture.home.tick(fixture.clock.now());
    CHECK(holds<Admitted>(fixture.admit("r2", "e1", true)));
    CHECK(fixture.home.loads().front().running == 1);
}

TEST_CASE("an engine without the model gets no work for it")
{
    Fixture fixture;
    fixture.home.observe({ EngineId("e1"), true, false, 0, { ModelId("other") } }, fixture.clock.now());
    CHECK(holds<Redirected>(fixture.admit("r1", "e1", true)));
}

TEST_CASE("queued requests are admitted when a slot becomes free, and redirected when the home changes")
{
    Fixture fixture;
    std::vector<std::string> waiting;
    for (int i = 0; i < 8; ++i) {
        const auto id = "r" + std::to_string(i);
        if (!fixture.admit(id))
            waiting.push_back(id);
    }
    REQUIRE(waiting.size() >= 2);
    RunReport report;
    report.request = RequestId("r0");
    report.engine = EngineId("e1");
    report.account = AccountId("a");
    const auto replies = fixture.home.finish(report, fixture.clock.now());
    REQUIRE(replies.size() == 1);
    CHECK(std::holds_alternative<Admitted>(replies[0].second));
    const auto redirects = fixture.home.update(*makeFleet({ "d2" }));
    REQUIRE(redirects.size() == waiting.size() - 1);
    CHECK(std::holds_alternative<Redirected>(redirects[0].second));
}

TEST_CASE("a queued request whose caller disconnected is removed and never started")
{
    Fixture fixture;
    std::string waiting;
    for (int i = 0; waiting.empty(); ++i) {
        if (!fixture.admit("r" + std::to_string(i)))
            waiting = "r" + std::to_string(i);
    }
    fixture.home.withdraw(EngineId("e1"), RequestId(waiting), fixture.clock.now());
    RunReport report;
    report.request = RequestId("r0");
    report.engine = EngineId("e1");
    report.account = AccountId("a");
    CHECK(fixture.home.finish(report, fixture.clock.now()).empty());
}

TEST_CASE("a home with one engine reduces the engine's weight when it is slower than the engines of other homes")
{
    ManualClock clock;
    EngineHome home { MemberId("d1") };
    home.update(*makeFleet({ "d1" }));
    LatencySummary other;
    other.classes.at(indexOf(WorkClass::Standard)) = { 100ms, 3 };
    for (int second = 0; second < 30; ++second) {
        for (int i = 0; i < 5; ++i) {
            RunReport report;
            report.request = RequestId("r");
            report.engine = EngineId("e1");
            report.account = AccountId("a");
            report.timeToFirstToken = 1s;
            report.startedAt = clock.now();
            home.finish(report, clock.now());
        }
        home.setPeerLatencies({ other }, clock.now());
        home.tick(clock.now());
        clock.advance(1s);
    }
    CHECK(home.status().front().weight < 1);
    CHECK(home.latencies(clock.now()).lowered == 1);
}

TEST_CASE("a malformed latency summary of a peer is rejected")
{
    LatencySummary summary;
    summary.classes.at(0) = { 250ms, 4 };
    summary.lowered = 2;
    auto bytes = summary.encode();
    const auto decoded = LatencySummary::decode(bytes);
    REQUIRE(isOk(decoded));
    CHECK(value(decoded).classes.at(0).median == 250ms);
    CHECK(value(decoded).lowered == 2);
    CHECK(fleetMedian(std::vector { summary }, WorkClass::Urgent) == Duration(250ms));
    bytes[0] = 9;
    CHECK_FALSE(isOk(LatencySummary::decode(bytes)));
    CHECK_FALSE(isOk(LatencySummary::decode({})));
    bytes = summary.encode();
    bytes.pop_back();
    CHECK_FALSE(isOk(LatencySummary::decode(bytes)));
}

TEST_CASE("a chat that another engine served instead of its first choice is directed from any entry to the engine that holds its prefix")
{
    Fixture fixture;
    auto call = query("r1", "e1", true, fixture.clock.now());
    call.chat.hash = 77;
    call.isFirstChoice = true;
    const auto e2 = engineHash(EngineId("e2"));
    fixture.home.recordPlacement(call.chat, e2, fixture.clock.now());
    const auto redirected = fixture.home.admit(call, fixture.clock.now());
    REQUIRE(holds<Redirected>(redirected));
    CHECK(std::get<Redirected>(*redirected).preferred == e2);
    // The entry asks again after the other engine could not accept the chat.
    call.isFirstChoice = false;
    CHECK(holds<Admitted>(fixture.home.admit(call, fixture.clock.now())));
}

TEST_CASE("a request waits for the engine that holds its prefix when prefilling the prompt elsewhere takes longer")
{
    Fixture fixture;
    RunReport served;
    served.request = RequestId("first-turn");
    served.engine = EngineId("e1");
    served.account = AccountId("a");
    served.chat.hash = 77;
    served.runDuration = 100ms;
    fixture.home.finish(served, fixture.clock.now());
    int admitted = 0;
    while (holds<Admitted>(fixture.admit("r" + std::to_string(admitted), "e1", true)))
        ++admitted;
    const auto other = fixture.admit("other", "e1", true);
    REQUIRE(holds<Redirected>(other));
    CHECK(std::get<Redirected>(*other).isBusy);
    auto returning = query("returning", "e1", true, fixture.clock.now());
    returning.chat.hash = 77;
    returning.promptTokens = 20;
    CHECK(holds<Redirected>(fixture.home.admit(returning, fixture.clock.now())));
    returning.promptTokens = 100000;
    CHECK_FALSE(fixture.home.admit(returning, fixture.clock.now()).has_value());
}
