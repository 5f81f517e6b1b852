#include <borageslip_history/borageslip_history.h>
#include <catch2/catch.hpp>

using namespace borageslip;
using Json = nlohmann::json;

namespace {

constexpr int64_t second = 1'000'000;

Json invoke(const std::string& request, const std::string& kind, const std::string& key = "")
{
    return { { "event", "invoke" }, { "request", request }, { "kind", kind }, { "key", key } };
}

Json chatAnswer(const std::string& request, uint64_t expected, const std::string& text, uint64_t tokens)
{
    return { { "event", "complete" }, { "request", request }, { "kind", "chat" }, { "outcome", "ok" }, { "not_run", false }, { "entry", "e:1" },
        { "expected_tokens", expected }, { "tokens", tokens }, { "answer_digest", answerDigest(text) } };
}

Json bookingAnswer(const std::string& request, const std::string& key, const std::string& outcome, bool isNotRun, const std::string& answerKey)
{
    return { { "event", "complete" }, { "request", request }, { "kind", "booking" }, { "key", key }, { "outcome", outcome }, { "not_run", isNotRun }, { "answer_key", answerKey } };
}

Json engineRun(const std::string& caller, int64_t accepted, int64_t end)
{
    return { { "request", "run-" + caller }, { "caller", caller }, { "model", "m" }, { "accepted_us", accepted }, { "start_us", accepted }, { "end_us", end } };
}

Json engine(const std::string& name, Json runs)
{
    return { { "engine", name }, { "region", "r" }, { "models", { "m" } }, { "runs", std::move(runs) } };
}

Json service(const std::vector<std::pair<std::string, std::string>>& executions)
{
    auto list = Json::array();
    for (const auto& [key, request] : executions)
        list.push_back({ { "key", key }, { "request", request } });
    return { { "service", "s" }, { "executions", std::move(list) } };
}

RecordedRun cleanRun()
{
    RecordedRun run;
    run.clientEvents = {
        invoke("a", "chat"), chatAnswer("a", 5, answerText("a", 5), 5),
        invoke("b", "booking", "k"), bookingAnswer("b", "k", "ok", false, "k"),
        invoke("c", "booking", "n"), bookingAnswer("c", "n", "refused", true, "")
    };
    run.engines = { engine("e1", Json::array({ engineRun("a", 1 * second, 2 * second) })), engine("e2", Json::array()) };
    run.services = { service({ { "k", "b" }, { "", "lookup" }, { "", "lookup" } }) };
    return run;
}

// Requires exactly one violation, with the given invariant and request and a non-empty trace.
void requireOnly(const RecordedRun& run, const std::string& invariant, const std::string& request, const HistoryRules& rules = {})
{
    const auto violations = checkHistory(run, rules);
    REQUIRE(violations.size() == 1);
    CHECK(violations[0].invariant == invariant);
    CHECK(violations[0].request == request);
    CHECK_FALSE(violations[0].trace.empty());
}

}

TEST_CASE("a history without faults has no violations")
{
    CHECK(checkHistory(cleanRun(), {}).empty());
}

TEST_CASE("I2: a truncated, mismatched or missing response is reported")
{
    auto run = cleanRun();
    SECTION("partial") { run.clientEvents[1] = chatAnswer("a", 5, answerText("a", 4), 4); }
    SECTION("another request's text") { run.clientEvents[1] = chatAnswer("a", 5, answerText("x", 5), 5); }
    SECTION("malformed") { run.clientEvents[1]["outcome"] = "malformed"; }
    SECTION("missing") { run.clientEvents.erase(run.clientEvents.begin() + 1); }
    requireOnly(run, "I2", "a");
}

TEST_CASE("I2: a booking response for another idempotency key is reported")
{
    auto run = cleanRun();
    run.clientEvents[3] = bookingAnswer("b", "k", "ok", false, "other");
    requireOnly(run, "I2", "b");
}

TEST_CASE("I3: a chat that was reported as not run but started by an engine is reported")
{
    auto run = cleanRun();
    run.clientEvents[1] = { { "event", "complete" }, { "request", "a" }, { "kind", "chat" }, { "outcome", "refused" }, { "not_run", true } };
    SECTION("started") { requireOnly(run, "I3", "a"); }
    SECTION("cancelled before it started is no violation")
    {
        run.engines[0]["runs"][0]["start_us"] = 0;
        CHECK(checkHistory(run, {}).empty());
    }
}

TEST_CASE("I3: a booking that was reported as not run but executed by a service is reported")
{
    auto run = cleanRun();
    run.services[0]["executions"].push_back({ { "key", "n" }, { "request", "" } });
    SECTION("the only request with its key") { requireOnly(run, "I3", "c"); }
    SECTION("executed by a later request with the same key is no violation")
    {
        run.clientEvents.push_back(invoke("c-again", "booking", "n"));
        run.clientEvents.push_back(bookingAnswer("c-again", "n", "ok", false, "n"));
        CHECK(checkHistory(run, {}).empty());
    }
    SECTION("executed under the refused request's own id")
    {
        run.services[0]["executions"].back()["request"] = "c";
        run.clientEvents.push_back(invoke("c-again", "booking", "n"));
        run.clientEvents.push_back(bookingAnswer("c-again", "n", "ok", false, "n"));
        requireOnly(run, "I3", "c");
    }
}

TEST_CASE("I4: an idempotency key executed twice, by one service instance or by two, is reported")
{
    auto run = cleanRun();
    SECTION("one instance") { run.services[0]["executions"].push_back({ { "key", "k" }, { "request", "b" } }); }
    SECTION("two instances") { run.services.push_back(service({ { "k", "b" } })); }
    requireOnly(run, "I4", "k");
}

TEST_CASE("I1: an engine over the load bound is reported, and a single run never exceeds it")
{
    RecordedRun run;
    auto runs = Json::array({ engineRun("p", 1 * second, 9 * second), engineRun("q", 2 * second, 9 * second) });
    run.engines = { engine("e1", runs), engine("e2", Json::array()), engine("e3", Json::array()) };
    SECTION("two on one engine of three") { requireOnly(run, "I1", "e1"); }
    SECTION("consecutive runs are no violation")
    {
        run.engines[0]["runs"][0]["end_us"] = 2 * second;
        CHECK(checkHistory(run, {}).empty());
    }
    SECTION("engines of another region do not count")
    {
        run.engines[1]["region"] = run.engines[2]["region"] = "other";
        CHECK(checkHistory(run, {}).empty());
    }
    SECTION("a leaving engine does not count towards the mean")
    {
        run.engines[1]["state_changes"] = run.engines[2]["state_changes"] = Json::array({ { { "state", "leaving" }, { "at_us", second / 2 } } });
        CHECK(checkHistory(run, {}).empty());
    }
}

TEST_CASE("I5: work sent to an engine more than 3 s after its state changed to leaving is reported")
{
    auto run = cleanRun();
    run.engines[0]["state_changes"] = Json::array({ { { "state", "leaving" }, { "at_us", 10 * second } } });
    SECTION("accepted")
    {
        run.engines[0]["runs"].push_back(engineRun("late", 13 * second + 1, 14 * second));
        requireOnly(run, "I5", "run-late");
    }
    SECTION("refused by the engine")
    {
        run.engines[0]["refusals"] = Json::array({ { { "request", "run-late" }, { "reason", "leaving" }, { "at_us", 14 * second } } });
        requireOnly(run, "I5", "run-late");
    }
    SECTION("within 3 s is no violation")
    {
        run.engines[0]["runs"].push_back(engineRun("early", 13 * second, 14 * second));
        CHECK(checkHistory(run, {}).empty());
    }
    SECTION("after its return to service is no violation")
    {
        run.engines[0]["state_changes"].push_back({ { "state", "live" }, { "at_us", 20 * second } });
        run.engines[0]["runs"].push_back(engineRun("later", 21 * second, 22 * second));
        CHECK(checkHistory(run, {}).empty());
    }
}

TEST_CASE("I6: a stream truncated without an error event is reported unless its entry was killed")
{
    auto run = cleanRun();
    run.clientEvents[1]["outcome"] = "cut";
    SECTION("planned stop") { requireOnly(run, "I6", "a"); }
    SECTION("killed entry")
    {
        HistoryRules rules;
        rules.crashedEntries = { "e:1" };
        CHECK(checkHistory(run, rules).empty());
    }
}

TEST_CASE("I6: a stream truncated while its entry did not crash, a truncated booking and a failed planned stop are reported")
{
    auto run = cleanRun();
    SECTION("a crash that ended before the request does not justify truncation")
    {
        run.clientEvents[0]["at_us"] = 2 * second;
        run.clientEvents[1]["at_us"] = 3 * second;
        run.clientEvents[1]["outcome"] = "cut";
        run.fleetEvents = { { { "event", "crash" }, { "entry", "e:1" }, { "at_us", 1 * second }, { "until_us", 2 * second - 1 } } };
        requireOnly(run, "I6", "a");
        run.fleetEvents[0]["until_us"] = 2 * second + 1;
        CHECK(checkHistory(run, {}).empty());
    }
    SECTION("a booking")
    {
        run.clientEvents[3]["outcome"] = "cut";
        requireOnly(run, "I6", "b");
    }
    SECTION("a planned stop")
    {
        run.fleetEvents = { { { "event", "stopped" }, { "entry", "e:1" }, { "exit_code", 0 } }, { { "event", "stopped" }, { "entry", "e:2" }, { "exit_code", 1 } } };
        requireOnly(run, "I6", "e:2");
    }
}

TEST_CASE("I2: a booking response without an execution, or with another execution's number, is reported")
{
    auto run = cleanRun();
    SECTION("no execution") { run.services[0]["executions"].erase(0); }
    SECTION("another number") { run.clientEvents[3]["number"] = 7; }
    requireOnly(run, "I2", "b");
}

TEST_CASE("I7: a revision that decreases, is applied late or has two documents is reported")
{
    auto run = cleanRun();
    const auto sample = [](const std::string& router, int64_t at, int64_t revision, int digest) {
        return Json { { "event", "revision" }, { "router", router }, { "incarnation", router + "-1" }, { "at_us", at * second }, { "revision", revision }, { "digest", digest } };
    };
    const Json written { { "event", "written" }, { "revision", 5 }, { "at_us", 10 * second } };
    const Json disturbance { { "event", "disturbance" }, { "from_us", 12 * second }, { "until_us", 30 * second } };
    SECTION("decreases")
    {
        run.fleetEvents = { sample("r", 2, 3, 3), sample("r", 1, 5, 5) };
        requireOnly(run, "I7", "r-1");
    }
    SECTION("two documents")
    {
        run.fleetEvents = { sample("r", 1, 3, 3), sample("s", 1, 3, 4) };
        requireOnly(run, "I7", "s");
    }
    SECTION("applied late")
    {
        run.fleetEvents = { written, sample("r", 17, 3, 3), sample("r", 19, 3, 3) };
        requireOnly(run, "I7", "r");
    }
    SECTION("applied late after a disturbance")
    {
        run.fleetEvents = { written, disturbance, sample("r", 37, 3, 3), sample("r", 39, 3, 3) };
        requireOnly(run, "I7", "r");
    }
    SECTION("in time is no violation")
    {
        run.fleetEvents = { written, sample("r", 17, 3, 3), sample("r", 19, 5, 5) };
        CHECK(checkHistory(run, {}).empty());
    }
}

TEST_CASE("a run that continues after its caller disconnected is reported unless a disturbance affected the fleet")
{
    auto run = cleanRun();
    run.engines[0]["runs"].push_back(engineRun("gone", 11 * second, 14 * second));
    run.fleetEvents = { { { "event", "caller-gone" }, { "request", "gone" }, { "at_us", 12 * second } } };
    SECTION("ended late") { requireOnly(run, "disconnect", "gone"); }
    SECTION("not ended")
    {
        run.engines[0]["runs"].back()["end_us"] = 0;
        requireOnly(run, "disconnect", "gone");
    }
    SECTION("during a disturbance is no violation")
    {
        run.fleetEvents.push_back({ { "event", "disturbance" }, { "from_us", 10 * second }, { "until_us", 12 * second } });
        CHECK(checkHistory(run, {}).empty());
    }
    SECTION("ended in time is no violation")
    {
        run.engines[0]["runs"].back()["end_us"] = 13 * second;
        CHECK(checkHistory(run, {}).empty());
    }
}

TEST_CASE("history lines that are not JSON objects are counted as invalid")
{
    size_t invalidLineCount = 0;
    CHECK(parseHistory("{\"a\":1}\n\nnot json\n{\"b\":2}", invalidLineCount).size() == 2);
    CHECK(invalidLineCount == 1);
}
