#include <borageslip_daemon/operators/TraceTable.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

DecisionTrace makeTrace(const std::string& request)
{
    DecisionTrace trace;
    trace.request = RequestId(request);
    trace.outcome = "ok";
    return trace;
}

}

TEST_CASE("The trace table stays within its memory limit and evicts the oldest traces first")
{
    constexpr size_t limit = 64 << 10;
    TraceTable table(limit);
    for (int i = 0; i < 1000; ++i) {
        table.add(makeTrace("r" + std::to_string(i)));
        REQUIRE(table.bytes() <= limit);
    }
    CHECK_FALSE(table.find("r0"));
    REQUIRE(table.find("r999"));
    CHECK(table.find("r999")->at("request") == "r999");
    CHECK(table.find("r998"));
}

TEST_CASE("A trace contains candidates, replies and times, and its size is bounded whatever the caller sends")
{
    ManualClock clock;
    TraceTable table(1 << 20);
    TraceRecorder recorder(table, clock, clock.now());
    recorder.identified(RequestId("r1"), AccountId("a"), ModelId(std::string(1 << 20, 'm')), ChatKey { 7 }, 3);
    recorder.candidatesRanked({ EngineId("e1"), EngineId("e2") });
    clock.advance(5ms);
    recorder.routeStep({ RouteStep::Kind::Asked, EngineId("e1"), MemberId("m1"), "no-engine-available", "bound" });
    recorder.routeStep({ RouteStep::Kind::Asked, EngineId("e2"), MemberId("m2"), "admit", "" });
    clock.advance(5ms);
    recorder.firstToken();
    for (int i = 0; i < 100; ++i)
        recorder.routeStep({ RouteStep::Kind::Resumed, EngineId("e2"), MemberId("m2"), "admit", std::string(10000, 'x') });
    recorder.ended(Error { ErrorKind::PeerConnectionLost, std::string(10000, 'd') });
    recorder.ended(std::nullopt);
    const auto trace = table.find("r1");
    REQUIRE(trace);
    CHECK(trace->at("candidates")[1] == nlohmann::json { { "rank", 2 }, { "engine", "e2" } });
    CHECK(trace->at("steps")[0]["answer"] == "no-engine-available");
    CHECK(trace->at("steps")[0]["at_us"] == 5000);
    CHECK(trace->at("attempts") == 2);
    CHECK(trace->at("omitted_steps") == 70);
    CHECK(trace->at("first_token_us") == 10000);
    CHECK(trace->at("outcome") == "peer-connection-lost");
    CHECK(table.bytes() < (32 << 10));
}
