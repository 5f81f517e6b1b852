#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

std::vector<ServerCandidate> candidatesOf(const std::vector<int>& loads)
{
    std::vector<ServerCandidate> candidates;
    for (size_t i = 0; i < loads.size(); ++i)
        candidates.push_back({ hashBytes("server" + std::to_string(i)), loads[i], 96 });
    return candidates;
}

std::optional<size_t> indexOfChoice(std::span<const ServerCandidate> candidates, uint64_t affinity, uint64_t tieBreak)
{
    const auto choice = chooseServer(candidates, affinity, tieBreak);
    return choice ? std::optional(choice->index) : std::nullopt;
}

}

TEST_CASE("requests with the same prefix go to the same server at every instance")
{
    auto candidates = candidatesOf({ 2, 2, 2, 2 });
    const auto first = indexOfChoice(candidates, 77, 1);
    REQUIRE(first);
    CHECK(indexOfChoice(candidates, 77, 2) == first);
    std::swap(candidates.front(), candidates.back());
    CHECK(candidates[*indexOfChoice(candidates, 77, 3)].hash == candidatesOf({ 2, 2, 2, 2 })[*first].hash);
}

TEST_CASE("a popular prefix spreads to further servers when its preferred one is over the affinity limit")
{
    auto candidates = candidatesOf({ 1, 1, 1, 1 });
    const auto preferred = *indexOfChoice(candidates, 77, 1);
    candidates[preferred].inFlight = 40;
    const auto second = indexOfChoice(candidates, 77, 1);
    REQUIRE(second);
    CHECK(*second != preferred);
}

// Guards against instances that keep requests away from the server of their prefix by different outdated loads, and so
// spread the prefix over many servers, each of which reads it.
TEST_CASE("outdated loads do not keep a request away from the server of its prefix")
{
    auto candidates = candidatesOf({ 1, 1, 1, 1 });
    const auto preferred = *indexOfChoice(candidates, 77, 1);
    candidates[preferred].inFlight = 96;
    candidates[preferred].isLoadOutdated = true;
    CHECK(indexOfChoice(candidates, 77, 1) == preferred);
    candidates[preferred].isExcluded = true;
    CHECK(indexOfChoice(candidates, 77, 1) != preferred);
    candidates[preferred].isExcluded = false;
    candidates[preferred].isEjected = true;
    CHECK(indexOfChoice(candidates, 77, 1) != preferred);
}

TEST_CASE("a server with a long prefill backlog gets no further prompts while another one has a shorter backlog")
{
    auto candidates = candidatesOf({ 1, 1, 1, 1 });
    const auto preferred = *indexOfChoice(candidates, 77, 1);
    candidates[preferred].pendingPrefill = 100000;
    CHECK(*indexOfChoice(candidates, 77, 1) != preferred);
}

TEST_CASE("a server records a bounded number of prompt prefixes")
{
    boost::asio::io_context context;
    ManualClock clock;
    BackendServer server({}, clock, context.get_executor());
    CHECK_FALSE(server.recordPrefix(1));
    CHECK(server.recordPrefix(1));
    for (uint64_t prefix = 2; prefix < 1000; ++prefix)
        server.recordPrefix(prefix);
    CHECK_FALSE(server.recordPrefix(1));
}

TEST_CASE("no server over the load cap is chosen, with or without affinity")
{
    std::minstd_rand random(11);
    for (int round = 0; round < 2000; ++round) {
        std::vector<int> loads;
        loads.reserve(9);
        for (int i = 0; i < 9; ++i)
            loads.push_back(static_cast<int>(random() % 30));
        const auto candidates = candidatesOf(loads);
        double mean = 0;
        for (const auto load : loads)
            mean += load / 9.0;
        const auto chosen = indexOfChoice(candidates, random() % 3, random());
        REQUIRE(chosen);
        CHECK(candidates[*chosen].inFlight <= 2 * mean + 3);
    }
}

TEST_CASE("a request is not sent to an excluded server or to one without a free slot")
{
    auto candidates = candidatesOf({ 0, 0 });
    candidates[0].isExcluded = true;
    CHECK(indexOfChoice(candidates, 0, 5) == 1);
    candidates[1].slots = 4;
    candidates[1].inFlight = 4;
    CHECK_FALSE(indexOfChoice(candidates, 0, 5));
}

TEST_CASE("an ejected server is used only when no other server has capacity")
{
    auto candidates = candidatesOf({ 0, 3 });
    candidates[0].isEjected = true;
    CHECK(indexOfChoice(candidates, 0, 5) == 1);
    candidates[1].isExcluded = true;
    CHECK(indexOfChoice(candidates, 0, 5) == 0);
}

TEST_CASE("nine instances stay within the shared retry budget when all requests fail")
{
    // Every request fails at first and requests a retry; the load is uneven between the instances.
    constexpr double ratio = 0.2;
    constexpr double reserve = 58;
    const FleetRetryBudget::Limits limits { ratio, reserve, 10s };
    std::vector<FleetRetryBudget> instances(9, FleetRetryBudget(limits));
    for (auto& instance : instances)
        instance.setInstanceCount(9);
    ManualClock clock;
    std::minstd_rand random(7);
    std::vector<std::pair<TimePoint, int>> requests;
    std::vector<std::pair<TimePoint, int>> retries;
    for (int step = 0; step < 6000; ++step) {
        clock.advance(5ms);
        const auto instance = random() % 3 == 0 ? random() % 9 : 0;
        instances[instance].recordRequest(clock.now());
        requests.emplace_back(clock.now(), 1);
        if (instances[instance].tryRetry(clock.now()))
            retries.emplace_back(clock.now(), 1);
        const auto inWindow = [&](const auto& events) {
            return std::count_if(events.begin(), events.end(), [&](const auto& event) { return clock.now() - event.first < 10s; });
        };
        REQUIRE(static_cast<double>(inWindow(retries)) <= ratio * static_cast<double>(inWindow(requests)) + reserve);
    }
    CHECK(retries.size() > 100);
}

TEST_CASE("a broken stream resumes after its last complete event")
{
    SseEventBuffer filter;
    CHECK(filter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(filter.lastEventId() == "1");
    CHECK(filter.feed("ta: b\n\nid: 3\r\ndata") == "id: 2\ndata: b\n\n");
    filter.dropPartialEvent();
    CHECK(filter.feed("id: 3\r\ndata: c\r\n\r\n") == "id: 3\r\ndata: c\r\n\r\n");
    CHECK(filter.lastEventId() == "3");
}

TEST_CASE("a report of an earlier release, without outcomes, is decoded")
{
    const auto bytes = nlohmann::json::to_cbor(nlohmann::json::array({ 1, "entry-1", 12, 34, true, nlohmann::json::array() }));
    const auto decoded = decodePeerReport(bytes);
    REQUIRE(isOk(decoded));
    CHECK(value(decoded).outcomes.empty());
}

TEST_CASE("outcomes reported by a peer are counted once, even when reports are lost or repeated")
{
    PeerReportTable reports(1s);
    const TimePoint now = TimePoint() + 1h;
    const auto report = [](uint64_t incarnation, uint64_t sequence, uint32_t answers, uint32_t failures) {
        return PeerReport { "entry-1", incarnation, sequence, true, {}, { { 7, answers, failures } } };
    };
    CHECK(reports.apply(report(1, 1, 500, 2), now).outcomes.empty()); // Outcomes from before this instance knew the peer.
    CHECK(reports.apply(report(1, 3, 504, 3), now).outcomes == std::vector<ServerOutcomes> { { 7, 4, 1 } });
    CHECK(reports.apply(report(1, 2, 502, 2), now).outcomes.empty()); // Arrives after a newer report.
    CHECK(reports.apply(report(1, 4, 504, 3), now).outcomes == std::vector<ServerOutcomes> { { 7, 0, 0 } });
    CHECK(reports.apply(report(2, 1, 9, 9), now).outcomes.empty()); // A new process counts from zero.
    CHECK(reports.apply(report(2, 2, 10, 9), now).outcomes == std::vector<ServerOutcomes> { { 7, 1, 0 } });
}

TEST_CASE("a peer report survives encoding and decoding, and truncated ones are rejected")
{
    const PeerReport report { "entry-1", 12, 34, true, { { 0xfeedfacecafebeefU, 7, 9000 }, { 1, 2, 0 } }, { { 1, 30, 4 } } };
    const auto bytes = encodePeerReport(report);
    const auto decoded = decodePeerReport(bytes);
    REQUIRE(isOk(decoded));
    CHECK(value(decoded) == report);
    for (size_t length = 0; length < bytes.size(); ++length)
        CHECK_FALSE(isOk(decodePeerReport(std::span(bytes).first(length))));
}

TEST_CASE("expired reports are ignored, and an older report does not replace a newer one")
{
    ManualClock clock;
    PeerReportTable reports(1s);
    reports.apply({ "a", 1, 5, true, { { 9, 3, 100 } } }, clock.now());
    reports.apply({ "a", 1, 4, false, { { 9, 8, 0 } } }, clock.now());
    reports.apply({ "b", 1, 1, true, { { 9, 2, 50 } } }, clock.now());
    CHECK(reports.usageByServer(clock.now()).at(9).inFlight == 5);
    CHECK(reports.usageByServer(clock.now()).at(9).pendingPrefill == 150);
    CHECK(reports.acceptsCallers("a"));
    clock.advance(1100ms);
    CHECK(reports.usageByServer(clock.now()).empty());
    CHECK(reports.livePeerCount(clock.now()) == 0);
    // A restarted process restarts its sequence.
    reports.apply({ "a", 2, 1, false, {} }, clock.now());
    CHECK(reports.hasRecentReport("a", clock.now()));
    CHECK_FALSE(reports.acceptsCallers("a"));
}

TEST_CASE("a server whose entry is missing after an outage is removed after a grace period, unless it is listed again")
{
    boost::asio::io_context context;
    ManualClock clock;
    ServerTable table(clock, context.get_executor());
    ServerDescription server;
    server.service = "pool";
    for (const auto* id : { "stays", "goes" }) {
        server.id = id;
        table.apply(server);
        table.scheduleRemoval(id);
    }
    table.maintain();
    CHECK(table.ofService("pool").size() == 2);
    server.id = "stays";
    table.apply(server);
    clock.advance(2100ms);
    table.maintain();
    REQUIRE(table.ofService("pool").size() == 1);
    CHECK(table.ofService("pool").front()->description().id == "stays");
}

TEST_CASE("a new incarnation under the same id replaces the server and its state")
{
    boost::asio::io_context context;
    ManualClock clock;
    ServerTable table(clock, context.get_executor());
    ServerDescription server;
    server.id = "s";
    server.service = "pool";
    server.startedAtMs = 1;
    table.apply(server);
    const auto first = table.ofService("pool").front();
    first->beginRequest();
    server.startedAtMs = 2;
    table.apply(server);
    CHECK_FALSE(first->isInService());
    CHECK(table.ofService("pool").front()->inFlight() == 0);
}

TEST_CASE("a server is ejected after repeated failures for a bounded time, and readmitted after a success")
{
    boost::asio::io_context context;
    ManualClock clock;
    BackendServer unreachable({}, clock, context.get_executor());
    unreachable.recordUnreachable();
    CHECK(unreachable.isEjected(clock.now()));

    BackendServer server({}, clock, context.get_executor());
    server.recordFailure();
    CHECK_FALSE(server.isEjected(clock.now()));
    server.recordFailure();
    CHECK(server.isEjected(clock.now()));
    for (int i = 0; i < 20; ++i)
        server.recordFailure();
    clock.advance(4001ms);
    CHECK_FALSE(server.isEjected(clock.now()));
    server.recordFailure();
    CHECK(server.isEjected(clock.now()));
    server.recordSuccess();
    CHECK_FALSE(server.isEjected(clock.now()));
}
