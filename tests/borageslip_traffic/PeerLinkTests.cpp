#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>

using namespace borageslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto longest = 5s;
constexpr SharedPrefix prefix { 77, 8000 };
constexpr int64_t promptTokens = 9000;

class NoProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields&) const override { return {}; }
    void prepareForwarding(HttpFields&, const ForwardingMetadata&) const override { }
    ResponseMetadata responseMetadata(unsigned, const HttpFields&) const override { return {}; }
};

/** An instance with a peer link on loopback that knows one backend server with one slot. */
class Instance {
public:
    explicit Instance(std::string name)
        : engine(m_clock, context.get_executor(), m_protocol, {})
        , link(engine, name)
    {
        engine.servers().apply({ "only", "engines", "", {}, 1 });
        asio::ip::udp::socket free(context, { asio::ip::address_v4::loopback(), 0 });
        member = { std::move(name), "", {}, free.local_endpoint() };
    }

    void connect(const Instance& other)
    {
        REQUIRE(isOk(link.open(member.peerAddress)));
        link.setMember(other.member);
        link.setAcceptsCallers(true);
    }

    BackendServer& server() { return *engine.servers().all().begin()->second; }

    /** A request of this instance for the server's slot. */
    struct Request {
        std::optional<ReservationResult> result {};
        int64_t tokens = promptTokens;
    };

    void request(Request& row, std::chrono::milliseconds waitWithin, RequestPriority priority = {})
    {
        server().beginRequest();
        server().addPendingPrefill(promptTokens);
        asio::co_spawn(engine.executor(), reserve(row, waitWithin, priority), asio::detached);
    }

    void end(const Request& row)
    {
        server().endRequest();
        server().addPendingPrefill(-row.tokens);
        link.notifyUsageChanged(server());
    }

private:
    asio::awaitable<void> reserve(Request& row, std::chrono::milliseconds waitWithin, RequestPriority priority)
    {
        const auto result = co_await link.requestReservation(server(), { { 1, 0 }, prefix, promptTokens, priority, waitWithin });
        row.tokens = result.isPrefixCached ? promptTokens - static_cast<int64_t>(prefix.tokens) : promptTokens;
        server().addPendingPrefill(row.tokens - promptTokens);
        if (result.outcome == ReservationOutcome::Denied) {
            server().endRequest();
            server().addPendingPrefill(-row.tokens);
        }
        row.result = result;
    }

    SystemClock m_clock;
    NoProtocol m_protocol;

public:
    asio::io_context context; ///< Of its own, so that a test can freeze the instance.
    bool isFrozen = false;
    TrafficEngine engine;
    PeerLink link;
    Member member;
};

/** Two instances that have heard each other; one of them coordinates the server. */
class Pair {
public:
    Pair()
    {
        first.connect(second);
        second.connect(first);
        REQUIRE(runUntil([this] { return first.link.livePeerCount() == 1 && second.link.livePeerCount() == 1; }));
        const std::vector<std::string_view> names { first.member.name, second.member.name };
        const bool isFirst = coordinatorOf(first.server().hash(), names) == size_t(0);
        coordinator = isFirst ? &first : &second;
        other = isFirst ? &second : &first;
    }

    bool runUntil(const std::function<bool()>& isDone)
    {
        const auto until = std::chrono::steady_clock::now() + longest;
        while (!isDone() && std::chrono::steady_clock::now() < until) {
            for (auto* instance : { &first, &second }) {
                if (!instance->isFrozen)
                    instance->context.run_one_for(1ms);
            }
        }
        return isDone();
    }

    Instance first { "entry-1" };
    Instance second { "entry-2" };
    Instance* coordinator = nullptr;
    Instance* other = nullptr;
};

bool isGranted(const Instance::Request& row)
{
    return row.result && row.result->outcome == ReservationOutcome::Granted;
}

}

// Guards against a request that moves to another server, which reads its prefix again, although a slot of the server that
// has the prefix is about to become free.
TEST_CASE("a request waits at the coordinator for a slot of a full server, whichever instance it comes from")
{
    Pair pair;
    for (auto* waiter : { pair.other, pair.coordinator }) {
        auto* holder = waiter == pair.other ? pair.coordinator : pair.other;
        Instance::Request held;
        holder->request(held, 0ms);
        REQUIRE(pair.runUntil([&] { return held.result.has_value(); }));
        CHECK(isGranted(held));

        Instance::Request waiting;
        waiter->request(waiting, 3s);
        CHECK(pair.runUntil([&] { return waiter->engine.counts().reservationWaits == 1; }));
        CHECK_FALSE(waiting.result);
        holder->end(held);
        REQUIRE(pair.runUntil([&] { return waiting.result.has_value(); }));
        CHECK(isGranted(waiting));
        CHECK(waiting.result->isPrefixCached);
        waiter->end(waiting);
    }
}

// Guards against a slot that stays counted after a wait in vain, and against a wait without end.
TEST_CASE("a request that waited in vain is denied and leaves the slot to others")
{
    Pair pair;
    Instance::Request held;
    pair.coordinator->request(held, 0ms);
    Instance::Request waiting;
    pair.other->request(waiting, 50ms);
    REQUIRE(pair.runUntil([&] { return waiting.result.has_value(); }));
    CHECK(waiting.result->outcome == ReservationOutcome::Denied);
    pair.coordinator->end(held);
    Instance::Request next;
    pair.other->request(next, 0ms);
    REQUIRE(pair.runUntil([&] { return next.result.has_value(); }));
    CHECK(isGranted(next));
}

// Guards against a request that waits without end for a coordinator that no longer runs, and against a slot that stays counted
// at a coordinator that runs again.
TEST_CASE("a request whose coordinator freezes while it waits is denied after the wait, and the slot is free afterwards")
{
    Pair pair;
    Instance::Request held;
    pair.coordinator->request(held, 0ms);
    Instance::Request waiting;
    pair.other->request(waiting, 100ms);
    REQUIRE(pair.runUntil([&] { return pair.other->engine.counts().reservationWaits == 1; }));
    pair.coordinator->isFrozen = true;
    REQUIRE(pair.runUntil([&] { return waiting.result.has_value(); }));
    CHECK(waiting.result->outcome == ReservationOutcome::Denied);
    pair.coordinator->isFrozen = false;
    pair.coordinator->end(held);
    Instance::Request next;
    pair.other->request(next, 2s);
    REQUIRE(pair.runUntil([&] { return next.result.has_value(); }));
    CHECK(isGranted(next));
}

// Guards against a prompt that is counted as waiting for prefill although its server has it in its cache, because another
// instance sent it there: the server then seems to have a long backlog.
TEST_CASE("the coordinator knows the prefixes that all instances have sent to a server")
{
    Pair pair;
    Instance::Request first;
    pair.coordinator->request(first, 0ms);
    REQUIRE(pair.runUntil([&] { return first.result.has_value(); }));
    CHECK_FALSE(first.result->isPrefixCached);
    pair.coordinator->end(first);
    Instance::Request second;
    pair.other->request(second, 0ms);
    REQUIRE(pair.runUntil([&] { return second.result.has_value(); }));
    CHECK(second.result->isPrefixCached);
    CHECK(pair.other->server().pendingPrefill() == promptTokens - static_cast<int64_t>(prefix.tokens));
}
