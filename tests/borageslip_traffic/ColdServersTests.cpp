#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace borageslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto longest = 2s;
const ColdShareId s_share { "pool", 0 };

class NoProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields&) const override { return {}; }
    void prepareForwarding(HttpFields&, const ForwardingMetadata&) const override { }
    ResponseMetadata responseMetadata(unsigned, const HttpFields&) const override { return {}; }
};

/** An instance whose configuration limits the cold servers of one service. */
class Instance final : private ColdPermits::Transport {
public:
    Instance(asio::io_context& context, const Clock& clock, uint16_t port, const std::string& name)
        : engine(clock, context.get_executor(), m_protocol, {})
        , permits(engine, *this, name)
        , address(asio::ip::address_v4::loopback(), port)
    {
        TrafficConfigurationBuilder builder;
        TrafficService pool { "pool" };
        pool.coldRequestsPerSecond = 18;
        pool.coldStart = 3s;
        builder.setVersion(1).addService(pool).addService({ "unlimited" });
        engine.setConfiguration(std::make_shared<const TrafficConfiguration>(value(builder.build())));
    }

    BackendServer& list(const std::string& id, const std::string& service, int64_t startedAtMs = 1000, std::chrono::milliseconds left = 0ms)
    {
        ServerDescription description;
        description.id = id;
        description.service = service;
        description.startedAtMs = startedAtMs;
        description.coldTimeLeft = left;
        engine.servers().apply(std::move(description));
        return *engine.servers().all().at(id);
    }

    /** Requests a permit and returns it; waits as long as the request takes. */
    std::optional<ColdPermit> request(asio::io_context& context, std::vector<uint64_t> servers)
    {
        std::optional<std::optional<ColdPermit>> result;
        asio::co_spawn(context, permits.requestPermit("pool", std::move(servers)), [&](const std::exception_ptr&, std::optional<ColdPermit> permit) { result = permit; });
        const auto until = std::chrono::steady_clock::now() + longest;
        context.restart();
        while (!result && std::chrono::steady_clock::now() < until)
            context.run_one_for(10ms);
        REQUIRE(result);
        return *result;
    }

    NoProtocol m_protocol;
    TrafficEngine engine;
    ColdPermits permits;
    asio::ip::udp::endpoint address;
    std::vector<Instance*> others;
    bool isSilent = false;

private:
    void deliver(std::span<const uint8_t> bytes, Instance& receiver)
    {
        const auto message = decodePeerMessage(bytes);
        REQUIRE(isOk(message));
        if (const auto* request = std::get_if<ColdPermitRequest>(&value(message)))
            receiver.permits.receive(*request, address);
        else if (const auto* reply = std::get_if<ColdPermitReply>(&value(message)))
            receiver.permits.receive(*reply, address);
        else if (const auto* notice = std::get_if<ColdServerNotice>(&value(message)))
            receiver.permits.receive(*notice, address);
    }

    void sendDatagram(std::span<const uint8_t> bytes, const asio::ip::udp::endpoint& to) override
    {
        for (auto* other : others) {
            if (!isSilent && other->address == to)
                asio::post(engine.executor(), [this, other, copy = std::vector<uint8_t>(bytes.begin(), bytes.end())] { deliver(copy, *other); });
        }
    }

    void sendDatagramToAll(std::span<const uint8_t> bytes) override
    {
        for (auto* other : others)
            deliver(bytes, *other);
    }
};

struct Pair {
    Pair()
    {
        asker.others = { &holder };
        holder.others = { &asker };
        for (auto* instance : { &asker, &holder })
            instance->permits.setHolder(s_share, "holder", holder.address);
    }

    asio::io_context context;
    ManualClock clock;
    Instance asker { context, clock, 7001, "asker" };
    Instance holder { context, clock, 7002, "holder" };
};

}

// Guards against messages on cold servers that are misread, or that stop an instance.
TEST_CASE("messages on cold servers are read as they were written", "[cold]")
{
    const ColdPermitRequest request { "a", 7, "pool", { 1, ~uint64_t { 0 } } };
    const ColdPermitReply reply { "b", 7, 1, 30ms };
    const ColdServerNotice notice { "c", 9, 1500ms };
    CHECK(std::get<ColdPermitRequest>(value(decodePeerMessage(encodeColdPermitRequest(request)))) == request);
    CHECK(std::get<ColdPermitReply>(value(decodePeerMessage(encodeColdPermitReply(reply)))) == reply);
    CHECK(std::get<ColdServerNotice>(value(decodePeerMessage(encodeColdServerNotice(notice)))) == notice);
    for (const auto* text : { "[20]", "[20,\"a\",7,\"pool\",[-1]]", "[20,\"a\",7,\"pool\",7]", "[21,\"a\",7,1]", "[21,\"a\",7,1,-5]", "[22,\"a\",\"x\",1]", "[22,\"a\",1,1.5]" })
        CHECK_FALSE(isOk(decodePeerMessage(nlohmann::json::to_cbor(nlohmann::json::parse(text)))));
}

// Guards against sending freely to servers that have started since, and against a limit where none is configured.
TEST_CASE("a server that is listed after the first complete read is cold, where the service has a limit", "[cold]")
{
    Pair pair;
    auto& cold = pair.asker.engine.coldServers();
    const auto& early = pair.asker.list("i-1", "pool");
    CHECK(cold.maySend(early, std::nullopt));
    cold.setListComplete();
    CHECK(cold.maySend(pair.asker.list("i-1", "pool"), std::nullopt));
    const auto& restarted = pair.asker.list("i-1", "pool", 2000);
    const auto& added = pair.asker.list("i-2", "pool");
    const auto& unlimited = pair.asker.list("i-3", "unlimited", 1000, 3s);
    CHECK_FALSE(cold.maySend(restarted, std::nullopt));
    CHECK_FALSE(cold.maySend(added, std::nullopt));
    CHECK(unlimited.isCold(pair.clock.now()));
    CHECK(cold.maySend(unlimited, std::nullopt));
    CHECK(pair.asker.engine.counts().coldSendsWithheld == 2);
    pair.clock.advance(3s);
    CHECK(cold.maySend(restarted, std::nullopt));
}

// Guards against a cold server that only the instance knows which has seen it, and against an evacuation's end without care.
TEST_CASE("what one instance observes of a cold server holds at the others", "[cold]")
{
    Pair pair;
    auto& server = pair.asker.list("i-1", "pool");
    const auto& told = pair.holder.list("i-1", "pool");
    SECTION("unreachable")
    {
        pair.asker.engine.coldServers().recordUnreachable(server);
        CHECK(pair.holder.engine.coldServers().isLimited(told));
        CHECK(told.coldState().isSuspected());
        CHECK(pair.holder.engine.coldServers().limitedCount() == 1);
    }
    SECTION("stated in a response")
    {
        pair.asker.engine.coldServers().recordResponse(server, 2s, pair.clock.now());
        CHECK(pair.holder.engine.coldServers().isLimited(told));
        CHECK(pair.holder.engine.coldServers().limitedCount() == 1);
        pair.clock.advance(2s);
        CHECK(pair.holder.engine.coldServers().limitedCount() == 0);
    }
    SECTION("assumed")
    {
        server.assumeColdFor(3s);
        CHECK(pair.asker.engine.coldServers().isLimited(server));
        CHECK(pair.asker.engine.coldServers().limitedCount() == 1);
        CHECK(pair.holder.engine.coldServers().limitedCount() == 0);
    }
}

// Guards against a response to an earlier listing of a server that does not reach the present one.
TEST_CASE("a response of an earlier listing makes the present one cold", "[cold]")
{
    Pair pair;
    pair.asker.list("i-1", "pool");
    const auto earlier = pair.asker.engine.servers().all().at("i-1");
    pair.asker.engine.servers().remove("i-1");
    const auto& present = pair.asker.list("i-1", "pool");
    pair.asker.engine.coldServers().recordResponse(*earlier, 2s, pair.clock.now());
    CHECK(pair.asker.engine.coldServers().isLimited(present));
}

// Guards against permits that nobody holds a share for, that come too late, or that are used after their time.
TEST_CASE("a permit comes from the holder of a share and counts from when it was requested", "[cold]")
{
    Pair pair;
    CHECK_FALSE(pair.asker.request(pair.context, { 5, 6 }));
    pair.clock.advance(2s);
    pair.holder.permits.rights().hold(s_share, pair.clock.now(), pair.clock.now() + 10s);
    CHECK_FALSE(pair.asker.request(pair.context, { 5, 6 }));
    pair.clock.advance(2s);
    const auto first = pair.asker.request(pair.context, { 5, 6 });
    REQUIRE(first);
    CHECK(first->allows(5, pair.clock.now()));
    CHECK_FALSE(first->allows(6, pair.clock.now()));
    const auto second = pair.asker.request(pair.context, { 5, 6 });
    REQUIRE(second);
    CHECK(second->allows(6, pair.clock.now()));
    CHECK_FALSE(pair.asker.request(pair.context, { 5, 6 }));
    CHECK_FALSE(pair.asker.permits.mayHavePermits("pool"));
    CHECK(pair.asker.engine.counts().coldPermitRequests.at(static_cast<size_t>(ReservationOutcome::Granted)) == 2);
    CHECK(pair.holder.engine.counts().coldPermitsIssued == 2);
    pair.clock.advance(coldPermitLifetime);
    CHECK_FALSE(first->allows(5, pair.clock.now()));
    SECTION("a holder uses its own share without a datagram")
    {
        pair.clock.advance(1s);
        pair.holder.isSilent = true;
        CHECK(pair.holder.request(pair.context, { 5 }));
    }
    SECTION("a lost reply yields no permit")
    {
        pair.clock.advance(1s);
        pair.holder.isSilent = true;
        CHECK_FALSE(pair.asker.request(pair.context, { 5 }));
        CHECK(pair.asker.engine.counts().coldPermitRequests.at(static_cast<size_t>(ReservationOutcome::TimedOut)) == 1);
    }
    SECTION("a share that has ended permits nothing")
    {
        pair.clock.advance(10s);
        CHECK_FALSE(pair.asker.request(pair.context, { 5 }));
    }
}

// Guards against cold servers that idle while warm ones have too much to do, and against warm ones that idle.
TEST_CASE("a limited cold server is chosen after warm ones with capacity and before warm ones without", "[cold]")
{
    const auto choose = [](int warmLoad, int64_t warmPrefill, bool isLimited) {
        std::vector<ServerCandidate> candidates(3);
        for (size_t i = 0; i < candidates.size(); ++i)
            candidates[i] = { i + 1, warmLoad, 64, warmPrefill };
        candidates[2] = { 3, 0, 64, 0, false, false, true };
        candidates[2].isLimitedWhileCold = isLimited;
        return chooseServer(candidates, 0, 7)->index;
    };
    CHECK(choose(5, 0, true) != 2);
    CHECK(choose(5, 30'000, true) == 2);
    CHECK(choose(5, 30'000, false) != 2);
}
