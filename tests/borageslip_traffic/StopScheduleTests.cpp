#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr Duration grace = 8s;
const TimePoint s_begunAt { 100s };
const StopSchedule s_schedule(s_begunAt, grace);

}

// Guards against requests that a stopping instance takes and can't finish.
TEST_CASE("a request that arrives during a stop is started only if its deadline passes before the last answers", "[stop]")
{
    for (const auto arrivedAfter : { 0ms, 1ms, 500ms, 2999ms, 3000ms, 3500ms, 6900ms }) {
        const auto arrivedAt = s_begunAt + arrivedAfter;
        CHECK(s_schedule.mayStart(arrivedAt, s_schedule.answerAt(), arrivedAt));
        CHECK_FALSE(s_schedule.mayStart(arrivedAt, s_schedule.answerAt() + 1ms, arrivedAt));
    }
}

TEST_CASE("a request that was received before a stop is started in the first third of the grace period only", "[stop]")
{
    const auto receivedAt = s_begunAt - 1ms;
    const auto deadline = receivedAt + 15s;
    CHECK(s_schedule.mayStart(receivedAt, deadline, s_begunAt));
    CHECK(s_schedule.mayStart(receivedAt, deadline, s_begunAt + grace / 3 - 1ms));
    CHECK_FALSE(s_schedule.mayStart(receivedAt, deadline, s_begunAt + grace / 3));
    CHECK(s_schedule.mayStart(receivedAt, s_begunAt + 5s, s_begunAt + 4s));
}

TEST_CASE("the last answers of a stop fall into the last sixth of the grace period, and leave time for the end", "[stop]")
{
    for (const Duration each : { Duration(1s), Duration(3s), Duration(8s), Duration(30s) }) {
        const StopSchedule stop(s_begunAt, each);
        CHECK(stop.answerAt() > s_begunAt + each * 5 / 6);
        CHECK(stop.endAt() > stop.answerAt());
        CHECK(stop.endAt() < s_begunAt + each - each / 24);
    }
}

TEST_CASE("a caller rejected during a stop is sent to another instance at once, or told to wait for the end", "[stop]")
{
    class PlainProtocol final : public CallerProtocol {
    public:
        RequestMetadata requestMetadata(const HttpFields&) const override { return {}; }
        void prepareForwarding(HttpFields&, const ForwardingMetadata&) const override { }
        ResponseMetadata responseMetadata(unsigned, const HttpFields&) const override { return {}; }
    };
    ManualClock clock;
    boost::asio::io_context context;
    const PlainProtocol protocol;
    TrafficEngine engine(clock, context.get_executor(), protocol, {});
    engine.beginStop(StopSchedule(clock.now(), grace));
    engine.setOthersAcceptCallers(true);
    CHECK(engine.retryAfterStop(15s) <= 50ms);
    CHECK(engine.retryAfterStop(0ms) == 0ms);
    engine.setOthersAcceptCallers(false);
    const auto wait = engine.retryAfterStop(60s);
    CHECK(wait >= 7s);
    CHECK(wait <= 20s);
    CHECK(engine.retryAfterStop(15s) <= 5s);
}
