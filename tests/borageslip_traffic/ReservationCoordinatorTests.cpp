#include <borageslip_core/borageslip_core.h>
#include <borageslip_scheduling/borageslip_scheduling.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <catch2/catch.hpp>
#include <random>

using namespace borageslip;
using namespace std::chrono_literals;

// Guards against two instances that coordinate the same server, and against needless changes of the coordinator.
TEST_CASE("all instances agree on a server's coordinator, and only servers of a lost instance change theirs")
{
    std::vector<std::string_view> names { "a", "b", "c", "d", "e" };
    const std::vector<std::string_view> reversed(names.rbegin(), names.rend());
    const std::vector<std::string_view> withoutC { "a", "b", "d", "e" };
    std::map<std::string_view, int> counts;
    for (uint64_t server = 1; server <= 500; ++server) {
        const auto hash = hashPair(server, 1);
        const auto name = names[*coordinatorOf(hash, names)];
        ++counts[name];
        CHECK(reversed[*coordinatorOf(hash, reversed)] == name);
        if (name != "c")
            CHECK(withoutC[*coordinatorOf(hash, withoutC)] == name);
    }
    for (const auto& [name, count] : counts)
        CHECK(count > 50);
    CHECK_FALSE(coordinatorOf(1, {}));
}

// Guards against a server that gets more requests than it has slots, and against a growing prefill backlog at one
// server.
TEST_CASE("a reservation is granted within the load cap, the slots and the limit of pending prefill")
{
    const auto isGranted = [](uint32_t held, uint64_t waiting, ReservationLimits limits) { return canGrantReservation({ { 1, held, waiting }, 4 }, limits, 2); };
    CHECK(isGranted(10, 0, {}));
    CHECK_FALSE(isGranted(11, 0, {}));
    CHECK(isGranted(5, 0, { 6, 0 }));
    CHECK_FALSE(isGranted(6, 0, { 6, 0 }));
    CHECK(isGranted(1, 999, { 0, 1000 }));
    CHECK_FALSE(isGranted(1, 1000, { 0, 1000 }));
}

// Guards against usage that stays counted after a request has ended, or is counted twice, after a lost or late message.
TEST_CASE("server usage is sent as a total, so that lost, repeated and reordered messages cause no error")
{
    const TimePoint now = TimePoint() + 1h;
    PeerReportTable table(1s);
    const auto usage = [](uint64_t sequence, uint32_t inFlight) { return ReservationMessage { "a", 1, sequence, { 7, inFlight, 0 } }; };
    table.apply({ "a", 1, 1, true, { { 7, 1, 0 }, { 8, 4, 0 } }, {} }, now);
    CHECK(table.applyUsage(usage(3, 3), now));
    CHECK(table.totalUsage(7, now).inFlight == 3);
    CHECK_FALSE(table.applyUsage(usage(2, 2), now));
    CHECK_FALSE(table.applyUsage(usage(3, 3), now));
    CHECK(table.totalUsage(7, now).inFlight == 3);
    CHECK(table.apply({ "a", 1, 2, true, {}, {} }, now).servers.empty());
    CHECK(table.apply({ "a", 1, 4, true, { { 7, 1, 0 } }, {} }, now).servers.size() == 2);
    CHECK(table.totalUsage(7, now).inFlight == 1);
    CHECK(table.totalUsage(8, now).inFlight == 0);
    CHECK(table.applyUsage(usage(5, 0), now));
    CHECK(table.usageBy("a", 7).inFlight == 0);
    CHECK(table.totalUsage(7, now + 2s).inFlight == 0);
}

// Guards against an instance that is removed from the callers' directory because a reservation message arrived before
// its first report.
TEST_CASE("a reservation message does not count as a report")
{
    const TimePoint now = TimePoint() + 1h;
    PeerReportTable table(1s);
    table.applyUsage({ "a", 1, 1, { 7, 1, 0 } }, now);
    CHECK_FALSE(table.hasRecentReport("a", now));
    table.apply({ "a", 1, 2, true, {}, {} }, now);
    CHECK(table.hasRecentReport("a", now));
}

// Guards against malformed datagrams that are accepted as messages or crash the process.
TEST_CASE("reservation messages survive encoding and decoding, and malformed ones are rejected")
{
    const ReservationMessage request { "entry-1", 12, 34, { 0xfeedfacecafebeefU, 7, 9000 }, true, { 24, 24000 }, { 0xcafe, 8000 }, 9000, { 1, 2 }, 150ms };
    const ReservationReply answer { 34, true, false, { 0xfeedfacecafebeefU, 8, 9000 }, true };
    auto bytes = encodeReservationMessage(request);
    CHECK(std::get<ReservationMessage>(value(decodePeerMessage(bytes))) == request);
    const auto answerBytes = encodeReservationReply(answer);
    CHECK(std::get<ReservationReply>(value(decodePeerMessage(answerBytes))) == answer);
    for (size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(isOk(decodePeerMessage(std::span(bytes).first(length))));
    std::minstd_rand random(5);
    for (int round = 0; round < 20000; ++round) {
        auto changed = round % 2 == 0 ? bytes : answerBytes;
        for (int i = 0; i < 3; ++i)
            changed[random() % changed.size()] = static_cast<uint8_t>(random());
        decodePeerMessage(changed);
    }
}
