#include <borageslip_core/borageslip_core.h>
#include <borageslip_scheduling/borageslip_scheduling.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <catch2/catch.hpp>
#include <random>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start = TimePoint() + 1h;
constexpr double capFactor = 2;

SlotRequest request(uint64_t number, RequestPriority priority = {}, uint64_t account = 1, std::chrono::milliseconds onTimeWithin = 100ms, std::chrono::milliseconds startWithin = 500ms)
{
    return { number, priority, account, onTimeWithin, startWithin, {} };
}

/** An instance that sends its state to a queue under test. */
class Sender {
public:
    Sender(ServiceQueue& queue, std::string name, uint64_t incarnation = 1)
        : m_queue(queue)
        , m_state { std::move(name), incarnation, 0, "booking" }
    {
    }

    bool send(std::vector<SlotRequest> waiting, std::vector<HeldSlot> held = {}, TimePoint now = start)
    {
        ++m_state.sequence;
        m_state.waiting = std::move(waiting);
        m_state.held = std::move(held);
        return m_queue.apply(m_state, 0, now);
    }

    const ServiceState& state() const { return m_state; }

private:
    ServiceQueue& m_queue;
    ServiceState m_state;
};

std::vector<uint64_t> grantedNumbers(const std::vector<ServiceQueue::Decision>& decisions)
{
    std::vector<uint64_t> numbers;
    for (const auto& row : decisions) {
        if (row.decision.isGranted)
            numbers.push_back(row.decision.number);
    }
    return numbers;
}

const std::vector<QueuedServer> s_oneSlot { { 7, 1, 1, false, 0 } };
constexpr size_t oneSlotGrants = 2; ///< One request in the slot and one that waits at the server.

}

// Guards against urgent requests that wait behind less urgent ones, against late requests that take the slots of those
// that can still be on time, and against an account whose surge takes all slots.
TEST_CASE("a free slot goes to the most urgent, then on-time, then least served account, then earliest request")
{
    ServiceQueue queue(capFactor);
    Sender instance(queue, "a");
    instance.send({ request(1, { 0, 2 }), request(2, { 0, 1 }), request(3, { 0, 1 }) });
    CHECK(grantedNumbers(queue.decide(s_oneSlot, start)) == std::vector<uint64_t> { 2, 3 });

    ServiceQueue lateness(capFactor);
    Sender other(lateness, "a");
    other.send({ request(1, {}, 1, 0ms, 100ms), request(2, {}, 2, 50ms), request(3, {}, 3, 50ms) });
    CHECK(grantedNumbers(lateness.decide(s_oneSlot, start + 1ms)) == std::vector<uint64_t> { 2, 3 });

    ServiceQueue fairness(capFactor);
    Sender surging(fairness, "a");
    surging.send({ request(1), request(2, {}, 1, 20ms), request(3, {}, 2, 90ms) });
    CHECK(grantedNumbers(fairness.decide(s_oneSlot, start)) == std::vector<uint64_t> { 2, 3 });
}

// Guards against a caller that waits until its deadline although it is known that it cannot be served.
TEST_CASE("a request that cannot start in time is rejected at once, with the expected wait")
{
    ServiceQueue queue(capFactor);
    Sender instance(queue, "a");
    // A measured hold time of 100 ms gives ten requests a second for one slot.
    instance.send({}, { { 1, 7 } });
    instance.send({}, {}, start + 100ms);
    const auto now = start + 200ms;
    std::vector<SlotRequest> waiting;
    for (uint64_t number = 2; number < 22; ++number)
        waiting.push_back(request(number, {}, 1, 500ms, 500ms));
    instance.send(waiting, {}, now);
    const auto decisions = queue.decide(s_oneSlot, now);
    CHECK(grantedNumbers(decisions).size() == oneSlotGrants);
    const auto rejected = std::count_if(decisions.begin(), decisions.end(), [](const auto& row) { return !row.decision.isGranted; });
    CHECK(rejected == 12);
    CHECK(queue.waitingCount() == 6);
    for (const auto& row : decisions)
        CHECK((row.decision.isGranted || row.decision.retryAfter >= 500ms));
}

// Guards against a request that waits although each server that it may use was tried before.
TEST_CASE("a request is rejected at once when all servers are excluded or none is in service")
{
    ServiceQueue queue(capFactor);
    Sender instance(queue, "a");
    auto tried = request(1);
    tried.excluded = { 7 };
    instance.send({ tried });
    const auto decisions = queue.decide(s_oneSlot, start);
    REQUIRE(decisions.size() == 1);
    CHECK_FALSE(decisions[0].decision.isGranted);

    ServiceQueue empty(capFactor);
    Sender other(empty, "a");
    other.send({ request(1) });
    CHECK(empty.decide({}, start).size() == 1);
}

// Guards against slots that stay occupied after a lost, late or repeated message, and against grants that are given
// twice.
TEST_CASE("the newest state of an instance decides which slots it holds")
{
    ServiceQueue queue(capFactor);
    Sender instance(queue, "a");
    instance.send({ request(1) });
    const auto old = instance.state();
    REQUIRE(grantedNumbers(queue.decide(s_oneSlot, start)).size() == 1);
    // The grant was lost: the request is still listed as waiting.
    instance.send({ request(1) });
    CHECK(grantedNumbers(queue.decide(s_oneSlot, start)) == std::vector<uint64_t> { 1 });
    CHECK(queue.heldCount(7) == 1);
    CHECK_FALSE(queue.apply(old, 0, start));
    // The request gave up before the grant arrived.
    instance.send({});
    CHECK(queue.heldCount(7) == 0);
    CHECK_FALSE(queue.apply(old, 0, start));
    CHECK(queue.waitingCount() == 0);

    instance.send({}, { { 2, 7 }, { 3, 7 } });
    CHECK(queue.heldCount(7) == 2);
    Sender restarted(queue, "a", 2);
    restarted.send({ request(1) });
    CHECK(queue.heldCount(7) == 0);
    CHECK_FALSE(instance.send({}, { { 2, 7 } }));
    CHECK(queue.heldCount(7) == 0);
}

// Guards against slots that a dead instance holds for long, and against a live instance that loses its slots.
TEST_CASE("the slots of an instance are released when no state renews them")
{
    ServiceQueue queue(capFactor);
    Sender dead(queue, "dead");
    Sender live(queue, "live");
    dead.send({ request(1) }, { { 2, 7 } });
    live.send({}, { { 1, 7 } });
    live.send({}, { { 1, 7 } }, start + 800ms);
    queue.expireLeases(start + ServiceQueue::leaseTime + 100ms);
    CHECK(queue.heldCount(7) == 1);
    CHECK(queue.waitingCount() == 0);
    CHECK(queue.instances() == std::vector<std::string> { "live" });
}

// Guards against a new coordinator that grants slots which are in use.
TEST_CASE("nothing is granted before the slots in use are known")
{
    ServiceQueue queue(capFactor);
    Sender instance(queue, "a");
    queue.settleUntil(start + 40ms);
    instance.send({ request(1) });
    CHECK(queue.decide(s_oneSlot, start).empty());
    Sender holder(queue, "b");
    holder.send({}, { { 1, 7 }, { 2, 7 } }, start + 10ms);
    CHECK(queue.decide(s_oneSlot, start + 50ms).empty());
    holder.send({}, { { 1, 7 } }, start + 60ms);
    CHECK(grantedNumbers(queue.decide(s_oneSlot, start + 60ms)).size() == 1);
}

// Guards against a load over the cap on one server, and against idle slots at the others.
TEST_CASE("slots are granted at the least loaded server, within the load cap")
{
    ServiceQueue queue(capFactor);
    const std::vector<QueuedServer> servers { { 7, 6, 1, false, 0 }, { 8, 6, 1, false, 0 }, { 9, 6, 0, false, 0 } };
    Sender instance(queue, "a");
    std::vector<SlotRequest> waiting;
    for (uint64_t number = 1; number <= 30; ++number)
        waiting.push_back(request(number));
    instance.send(waiting);
    queue.decide(servers, start);
    CHECK(queue.heldCount(7) == 8);
    CHECK(queue.heldCount(8) == 8);
    CHECK(queue.heldCount(9) == 1);
}

// Guards against a failing server that gets as many requests as the others, and against one that is never tried again.
TEST_CASE("a server without a share gets a request only as a probe or when no other has a free slot")
{
    ServiceQueue queue(capFactor);
    std::vector<QueuedServer> servers { { 7, 6, 1, false, 0 }, { 8, 6, 0, false, 0 } };
    Sender instance(queue, "a");
    for (uint64_t number = 1; number <= 20; ++number) {
        instance.send({ request(number) });
        queue.decide(servers, start);
        CHECK(queue.heldCount(8) == 0);
    }
    servers[1].isProbeDue = true;
    instance.send({ request(30) }, { { 29, 7 } });
    queue.decide(servers, start);
    CHECK(queue.heldCount(8) == 1);
}

// Guards against a server whose share comes back only after most of a minute, because a service with few requests sends it
// too few of them to tell that it has recovered.
TEST_CASE("a recovered server of a service with few requests has its share back within seconds")
{
    constexpr uint64_t recovered = 7;
    constexpr auto requestInterval = 50ms;
    constexpr auto limit = 7s; // Three probes, and one second for each of the two steps of its share, with a third as margin.
    for (uint64_t seed = 0; seed < 20; ++seed) {
        ServerHealth health;
        std::vector<QueuedServer> servers;
        for (const uint64_t hash : { recovered, uint64_t(8), uint64_t(9) }) {
            health.add(hash);
            servers.push_back({ hash, 6, 1, false, 0 });
        }
        auto now = start;
        for (; health.share(recovered) > 0; now += requestInterval) {
            health.recordFailure(recovered, now, now);
            health.evaluate(now);
        }
        ServiceQueue queue(capFactor);
        Sender instance(queue, "a");
        uint64_t number = seed * 1000;
        const auto recoveredAt = now;
        for (; health.share(recovered) < 1 && now < recoveredAt + limit; now += requestInterval) {
            for (auto& server : servers) {
                server.share = health.share(server.hash);
                server.isProbeDue = health.isProbeDue(server.hash, now);
            }
            instance.send({ request(++number) }, {}, now);
            for (const auto& row : queue.decide(servers, now)) {
                health.recordSend(row.decision.server, now);
                health.recordAnswer(row.decision.server, 30ms, now, now);
            }
            health.evaluate(now);
        }
        CAPTURE(seed);
        CHECK(health.share(recovered) == 1);
    }
}

// Guards against malformed datagrams that are accepted as messages or crash the process.
TEST_CASE("messages about slots survive encoding and decoding, and malformed ones are rejected")
{
    const ServiceState state { "entry-1", 12, 34, "booking", true, { { 5, { 1, 2 }, 0xfeedfacecafebeefU, 100ms, 500ms, { 7, 8 } } }, { { 4, 9 } }, { 9 } };
    const ServiceDecisions reply { "entry-2", "booking", 34, "entry-2", { { 5, true, 7, 0ms }, { 6, false, 0, 250ms } } };
    const CoordinatorNotice notice { "entry-2", "booking", "entry-3" };
    const std::vector<std::vector<uint8_t>> encoded { encodeServiceState(state), encodeServiceDecisions(reply), encodeCoordinatorNotice(notice) };
    CHECK(std::get<ServiceState>(value(decodePeerMessage(encoded[0]))) == state);
    CHECK(std::get<ServiceDecisions>(value(decodePeerMessage(encoded[1]))) == reply);
    CHECK(std::get<CoordinatorNotice>(value(decodePeerMessage(encoded[2]))) == notice);
    std::minstd_rand random(11);
    for (const auto& bytes : encoded) {
        for (size_t length = 0; length < bytes.size(); ++length)
            CHECK_FALSE(isOk(decodePeerMessage(std::span(bytes).first(length))));
        for (int round = 0; round < 10000; ++round) {
            auto changed = bytes;
            for (int i = 0; i < 3; ++i)
                changed[random() % changed.size()] = static_cast<uint8_t>(random());
            decodePeerMessage(changed);
        }
    }
}

// Guards against callers that are told to return before there is capacity, or all at the same moment.
TEST_CASE("a rejected caller returns between once and twice the expected wait, within a third of its time")
{
    std::minstd_rand random(3);
    std::set<std::chrono::milliseconds> delays;
    for (int i = 0; i < 100; ++i) {
        const auto delay = jitteredRetryAfter(3000ms, random, 300ms);
        CHECK(delay >= 300ms);
        CHECK(delay <= 600ms);
        delays.insert(delay);
        CHECK(jitteredRetryAfter(600ms, random, 5000ms) == 200ms);
    }
    CHECK(delays.size() > 20);
}
