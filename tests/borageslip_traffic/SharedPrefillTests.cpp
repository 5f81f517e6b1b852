#include <borageslip_core/borageslip_core.h>
#include <borageslip_scheduling/borageslip_scheduling.h>
#include <borageslip_traffic/borageslip_traffic.h>
#include <borageslip_traffic/engine/ServerReservation.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>

using namespace borageslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr SharedPrefix prefix { 77, 8400 };
constexpr uint64_t ownTokens = 600;
constexpr uint64_t promptTokens = prefix.tokens + ownTokens;
constexpr ReservationLimits limits { 8, 24000 };

class NoProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields&) const override { return {}; }
    void prepareForwarding(HttpFields&, const ForwardingMetadata&) const override { }
    ResponseMetadata responseMetadata(unsigned, const HttpFields&) const override { return {}; }
};

class SettableClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    std::chrono::system_clock::time_point wallTime() const override { return {}; }
    void advance(Duration time) { m_now += time; }

private:
    TimePoint m_now = TimePoint() + 1h;
};

/** Keeps what the two sides of reservations send. */
class RecordingHost final : public ReservationHost {
public:
    bool isOpen() const override { return true; }
    bool acceptsCallers() const override { return isCoordinator; }
    std::vector<ReservationPeer> reservationPeers() const override
    {
        return isCoordinator ? std::vector<ReservationPeer> {} : std::vector<ReservationPeer> { { "coordinator", {} } };
    }
    bool isMember(std::string_view) const override { return true; }
    bool isCoordinatorOf(uint64_t) override { return isCoordinator; }
    uint64_t nextSequence() override { return ++sequence; }
    void send(std::span<const uint8_t> bytes, const asio::ip::udp::endpoint&) override
    {
        auto message = decodePeerMessage(bytes);
        REQUIRE(isOk(message));
        sent.push_back(value(std::move(message)));
    }
    void receiveReservationReply(const ReservationReply& reply) override { sent.emplace_back(reply); }
    void schedulePoll() override { }

    /** The latest reply to the request; nothing when there is none since the last call. */
    std::optional<ReservationReply> takeReply(uint64_t request)
    {
        std::optional<ReservationReply> latest;
        for (const auto& message : sent) {
            if (const auto* reply = std::get_if<ReservationReply>(&message); reply != nullptr && reply->sequence == request)
                latest = *reply;
        }
        std::erase_if(sent, [&](const PeerMessage& message) { const auto* reply = std::get_if<ReservationReply>(&message); return reply != nullptr && reply->sequence == request; });
        return latest;
    }

    bool isCoordinator = true;
    uint64_t sequence = 0;
    std::vector<PeerMessage> sent;
};

/** A coordinator and its reservations, without a network. */
class Coordinator {
public:
    Coordinator()
        : engine(clock, context.get_executor(), m_protocol, {})
        , memory(engine, host, "coordinator")
        , grants(engine, reports, memory, host, "coordinator")
    {
        list({});
    }

    void list(ServerDescription changes)
    {
        changes.id = "only";
        changes.service = "engines";
        changes.slots = static_cast<int>(limits.slots);
        engine.servers().apply(changes);
    }

    BackendServer& server() { return *engine.servers().all().begin()->second; }

    /** A request of another instance, each of which has one at most. @return its number. */
    uint64_t request(const std::string& sender, SharedPrefix of = prefix, ReservationLimits within = limits)
    {
        ReservationMessage message { sender, 1, ++m_sequence, { hash(), 1, promptTokens }, true, within, of, promptTokens };
        grants.receiveReservationMessage(message, {});
        return m_sequence;
    }

    void endPrefill(const std::string& sender, PrefillEnd end) { grants.receivePrefillEnd({ sender, { hash(), prefix.hash }, end }); }

    uint64_t hash() const { return hashBytes("only"); }
    ServerUsage usage() const { return reports.totalUsage(hash(), clock.now()); }

    SettableClock clock;
    asio::io_context context;

private:
    NoProtocol m_protocol;
    uint64_t m_sequence = 0;

public:
    TrafficEngine engine;
    PeerReportTable reports { 10s };
    RecordingHost host;
    MemoryCoordination memory;
    ReservationGrants grants;
};

void checkWaits(const std::optional<ReservationReply>& reply)
{
    REQUIRE(reply);
    CHECK(reply->isGranted);
    CHECK(reply->isWaiting);
    CHECK(reply->isPrefixCached);
}

void checkSent(const std::optional<ReservationReply>& reply, bool isPrefixCached)
{
    REQUIRE(reply);
    CHECK(reply->isGranted);
    CHECK_FALSE(reply->isWaiting);
    CHECK(reply->isPrefixCached == isPrefixCached);
}

}

// Guards against prefills of a prefix that another request is prefilling, and against tokens counted twice meanwhile.
TEST_CASE("a request waits until the response of the one that prefills its prefix begins", "[prefix]")
{
    Coordinator coordinator;
    checkSent(coordinator.host.takeReply(coordinator.request("a")), false);
    const auto second = coordinator.request("b");
    checkWaits(coordinator.host.takeReply(second));
    CHECK(coordinator.usage().inFlight == 2);
    CHECK(coordinator.usage().pendingPrefill == promptTokens + ownTokens);
    coordinator.clock.advance(100ms);
    coordinator.endPrefill("a", PrefillEnd::Finished);
    checkSent(coordinator.host.takeReply(second), true);
    CHECK(coordinator.grants.waitingCount() == 0);
    checkSent(coordinator.host.takeReply(coordinator.request("c")), true);
}

// Guards against requests that wait for a prefill that failed, and against all of them prefilling the prefix at once.
TEST_CASE("when the prefill fails, the first request that waits prefills the prefix", "[prefix]")
{
    Coordinator coordinator;
    coordinator.request("a");
    const auto second = coordinator.request("b");
    const auto third = coordinator.request("c");
    coordinator.host.sent.clear();
    coordinator.endPrefill("a", PrefillEnd::Failed);
    checkSent(coordinator.host.takeReply(second), false);
    CHECK_FALSE(coordinator.host.takeReply(third));
    CHECK(coordinator.usage().pendingPrefill == 2 * promptTokens + ownTokens);
    coordinator.endPrefill("b", PrefillEnd::Finished);
    checkSent(coordinator.host.takeReply(third), true);
    CHECK(coordinator.engine.counts().prefillsFailed == 1);
}

// Guards against a prefix that counts as cached although its only prefill failed.
TEST_CASE("after a failed prefill that nobody waited for, the next request prefills the prefix", "[prefix]")
{
    Coordinator coordinator;
    coordinator.request("a");
    coordinator.endPrefill("a", PrefillEnd::Failed);
    checkSent(coordinator.host.takeReply(coordinator.request("b")), false);
}

// Guards against waits without end when the message about the end of the prefill, or its instance, is lost.
TEST_CASE("a request whose news are lost is sent after a time in proportion to the tokens", "[prefix]")
{
    Coordinator coordinator;
    coordinator.request("a");
    const auto second = coordinator.request("b");
    coordinator.host.sent.clear();
    coordinator.clock.advance(349ms);
    coordinator.grants.poll();
    CHECK_FALSE(coordinator.host.takeReply(second));
    REQUIRE(coordinator.grants.nextPoll());
    CHECK(*coordinator.grants.nextPoll() <= coordinator.clock.now() + 1ms);
    coordinator.clock.advance(1ms);
    coordinator.grants.poll();
    checkSent(coordinator.host.takeReply(second), true);
    coordinator.clock.advance(1s);
    coordinator.grants.poll();
    CHECK_FALSE(coordinator.grants.nextPoll());
}

// Guards against requests that wait for a server that has crashed, leaves or was removed, and against their usage staying
// counted there.
TEST_CASE("requests that wait at a server that is gone are denied at once", "[prefix]")
{
    Coordinator coordinator;
    coordinator.request("a");
    const auto second = coordinator.request("b");
    coordinator.host.sent.clear();
    ServerDescription changed;
    SECTION("it leaves")
    {
        changed.isDraining = true;
        coordinator.list(changed);
    }
    SECTION("it has started again")
    {
        changed.startedAtMs = 5000;
        coordinator.list(changed);
    }
    SECTION("it does not respond")
    {
        coordinator.server().recordUnreachable();
    }
    SECTION("it is no longer listed")
    {
        coordinator.engine.servers().remove("only");
    }
    SECTION("it crashed, and the failure of the prefill is reported first")
    {
        coordinator.server().recordUnreachable();
        coordinator.endPrefill("a", PrefillEnd::Failed);
    }
    coordinator.grants.poll();
    const auto reply = coordinator.host.takeReply(second);
    REQUIRE(reply);
    CHECK_FALSE(reply->isGranted);
    CHECK(coordinator.reports.usageBy("b", coordinator.hash()) == ServerUsage { coordinator.hash(), 0, 0 });
    CHECK(coordinator.grants.waitingCount() == 0);
}

// Guards against a change of the coordinator that has a cached prefix prefilled again, and against late reports about
// prefills that the new coordinator does not know.
TEST_CASE("a new coordinator learns of prefills that end and ignores failures of those it does not know", "[prefix]")
{
    Coordinator successor;
    successor.endPrefill("a", PrefillEnd::Finished);
    checkSent(successor.host.takeReply(successor.request("b")), true);
    Coordinator other;
    other.request("b");
    other.endPrefill("a", PrefillEnd::Failed);
    checkWaits(other.host.takeReply(other.request("c")));
}

// Guards against waits where requests are not placed by prefixes, and for prefixes that are prefilled quickly.
TEST_CASE("only requests that are placed by long prefixes wait", "[prefix]")
{
    Coordinator coordinator;
    const SharedPrefix small { 78, 600 };
    coordinator.request("a", small);
    checkSent(coordinator.host.takeReply(coordinator.request("b", small)), true);
    const SharedPrefix other { 79, 8400 };
    coordinator.request("c", other, { 8, 0 });
    checkSent(coordinator.host.takeReply(coordinator.request("d", other, { 8, 0 })), true);
}

// Guards against requests that are released together at a server that accepts a limited number of requests per second.
TEST_CASE("requests do not wait for prefixes at servers with a rate limit", "[prefix]")
{
    Coordinator coordinator;
    coordinator.server().allowance().recordRateLimit({ 1000, coordinator.clock.now() });
    // The token bucket of the limit is empty when the first request arrives.
    CHECK_FALSE(coordinator.host.takeReply(coordinator.request("first"))->isGranted);
    coordinator.clock.advance(100ms);
    checkSent(coordinator.host.takeReply(coordinator.request("a")), false);
    checkSent(coordinator.host.takeReply(coordinator.request("b")), true);
}

// Guards against unlimited requests that wait at one server instead of spreading to others.
TEST_CASE("requests that wait for a prefix count against the limits of the server", "[prefix]")
{
    Coordinator coordinator;
    int granted = 0;
    for (uint32_t i = 0; i < 2 * limits.slots; ++i)
        granted += coordinator.host.takeReply(coordinator.request("instance" + std::to_string(i)))->isGranted ? 1 : 0;
    CHECK(granted >= 2);
    CHECK(granted <= static_cast<int>(limits.slots));
}

TEST_CASE("messages about the end of a prefill are read back, and malformed ones are rejected", "[prefix]")
{
    for (const auto end : { PrefillEnd::Finished, PrefillEnd::Failed }) {
        const PrefillEndNotice notice { "a", { 1, 2 }, end };
        const auto read = decodePeerMessage(encodePrefillEndNotice(notice));
        REQUIRE(isOk(read));
        CHECK(std::get<PrefillEndNotice>(value(read)) == notice);
    }
    const auto malformed = nlohmann::json::to_cbor(nlohmann::json::array({ prefillEndNoticeKind, "a", 1, -2, true }));
    CHECK_FALSE(isOk(decodePeerMessage(malformed)));
}

namespace {

/** An instance that asks another one, which the test plays. */
class Asker {
public:
    Asker()
        : engine(clock, context.get_executor(), m_protocol, {})
        , memory(engine, host, "asker")
        , grants(engine, reports, memory, host, "asker")
        , requests(engine, host, grants, memory, "asker", 1)
    {
        host.isCoordinator = false;
        engine.servers().apply({ "only", "engines", "", {}, 8 });
        asio::co_spawn(context, ask(), asio::detached);
        context.poll();
        REQUIRE(host.sent.size() == 1);
        sequence = std::get<ReservationMessage>(host.sent.front()).sequence;
    }

    BackendServer& server() { return *engine.servers().all().begin()->second; }

    void answer(bool isGranted, bool isWaiting, bool isPrefixCached)
    {
        requests.receiveReservationReply({ sequence, isGranted, isWaiting, { server().hash(), 1, 0 }, isPrefixCached });
        context.restart();
        context.poll();
    }

    void run()
    {
        context.restart();
        context.run_for(2s);
    }

private:
    asio::awaitable<void> ask()
    {
        server().beginRequest();
        server().addPendingPrefill(promptTokens);
        ReservationDemand demand { limits, prefix, promptTokens, {}, 0ms, 60ms };
        result = co_await requests.requestReservation(server(), demand);
    }

    NoProtocol m_protocol;

public:
    SystemClock clock;
    asio::io_context context;
    TrafficEngine engine;
    PeerReportTable reports { 10s };
    RecordingHost host;
    MemoryCoordination memory;
    ReservationGrants grants;
    ReservationRequests requests;
    uint64_t sequence = 0;
    std::optional<ReservationResult> result;
};

}

// Guards against a request that is sent before the prefix is cached, and against the tokens of the prefix counted for it.
TEST_CASE("a granted request is sent when the coordinator tells that the prefix is cached", "[prefix]")
{
    Asker asker;
    asker.answer(true, true, true);
    CHECK_FALSE(asker.result);
    CHECK(asker.server().ownPendingPrefill() == ownTokens);
    const bool isCached = GENERATE(true, false);
    asker.answer(true, false, isCached);
    REQUIRE(asker.result);
    CHECK(asker.result->outcome == ReservationOutcome::Granted);
    CHECK(asker.result->isPrefixCached == isCached);
    CHECK(asker.server().ownPendingPrefill() == promptTokens);
    CHECK(asker.engine.counts().prefixWaits == 1);
    CHECK(asker.engine.counts().prefixWaitsExpired == 0);
}

// Guards against a request that goes to a server that was lost while it waited.
TEST_CASE("a granted request that is denied while it waits goes to another server", "[prefix]")
{
    Asker asker;
    asker.answer(true, true, true);
    asker.answer(false, false, false);
    REQUIRE(asker.result);
    CHECK(asker.result->outcome == ReservationOutcome::Denied);
}

// Guards against waits that cost the latency objective when the coordinator freezes or its second reply is lost.
TEST_CASE("a granted request is sent after its own limit when no news arrive", "[prefix]")
{
    Asker asker;
    asker.answer(true, true, true);
    const auto since = std::chrono::steady_clock::now();
    asker.run();
    REQUIRE(asker.result);
    CHECK(asker.result->outcome == ReservationOutcome::Granted);
    CHECK(asker.result->isPrefixCached);
    CHECK(std::chrono::steady_clock::now() - since < 1s);
    CHECK(asker.engine.counts().prefixWaitsExpired == 1);
}

// Guards against a coordinator that is not told of the end of a prefill, or is told twice.
TEST_CASE("a reservation reports the end of its prefill once, and a failure when it ends without a response", "[prefix]")
{
    class Broker final : public ReservationBroker {
    public:
        asio::awaitable<ReservationResult> requestReservation(BackendServer&, ReservationDemand) override { co_return ReservationResult {}; }
        std::unique_ptr<SlotTicket> requestSlot(SlotDemand, std::function<void()>) override { return nullptr; }
        void notifyUsageChanged(BackendServer&) override { }
        void notifyPrefillEnded(const BackendServer&, uint64_t of, PrefillEnd end) override { ends.emplace_back(of, end); }
        void notifyRateLimit(const BackendServer&) override { }

        std::vector<std::pair<uint64_t, PrefillEnd>> ends;
    };
    Coordinator coordinator;
    Broker broker;
    coordinator.engine.setReservationBroker(&broker);
    const auto server = coordinator.engine.servers().find(coordinator.hash());
    {
        detail::ServerReservation reservation(coordinator.engine, server, promptTokens);
        reservation.beginPrefill(prefix.hash);
        reservation.endPrefill(PrefillEnd::Finished);
        reservation.endPrefill(PrefillEnd::Failed);
    }
    CHECK(broker.ends == std::vector { std::pair(prefix.hash, PrefillEnd::Finished) });
    broker.ends.clear();
    {
        detail::ServerReservation reservation(coordinator.engine, server, promptTokens);
        reservation.beginPrefill(prefix.hash);
    }
    CHECK(broker.ends == std::vector { std::pair(prefix.hash, PrefillEnd::Failed) });
    broker.ends.clear();
    {
        detail::ServerReservation reservation(coordinator.engine, server, promptTokens);
        reservation.endPrefill(PrefillEnd::Finished);
    }
    CHECK(broker.ends.empty());
    coordinator.engine.setReservationBroker(nullptr);
}
