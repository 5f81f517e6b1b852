#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>

using namespace borageslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto longest = 5s;
constexpr int64_t capacity = 160'000;
constexpr RequestMemory wanted { 30'000, { 77, 10'000 } };

class NoProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields&) const override { return {}; }
    void prepareForwarding(HttpFields&, const ForwardingMetadata&) const override { }
    ResponseMetadata responseMetadata(unsigned, const HttpFields&) const override { return {}; }
};

enum class Guard {
    On,
    Off,
};

TrafficSettings settings(Guard guard)
{
    TrafficSettings settings;
    settings.guardsServerMemory = guard == Guard::On;
    settings.choice.capFactor = 100;
    return settings;
}

TrafficConfigurationPtr configuration()
{
    auto built = TrafficConfigurationBuilder().setVersion(1).addService({ "engines", 0, EngineCapacity { 64, capacity } }).build();
    return std::make_shared<TrafficConfiguration>(value(std::move(built)));
}

/** An instance with a peer link on loopback that knows one model server. */
class MemoryInstance {
public:
    MemoryInstance(std::string name, Guard guard)
        : engine(m_clock, context.get_executor(), m_protocol, settings(guard))
        , link(engine, name)
    {
        engine.setConfiguration(configuration());
        engine.servers().apply({ "only", "engines", "", {}, 64 });
        asio::ip::udp::socket free(context, { asio::ip::address_v4::loopback(), 0 });
        member = { std::move(name), "", {}, free.local_endpoint() };
    }

    void connect(const MemoryInstance& other)
    {
        REQUIRE(isOk(link.open(member.peerAddress)));
        link.setMember(other.member);
        link.setAcceptsCallers(true);
    }

    BackendServer& server() { return *engine.servers().all().begin()->second; }

    void request(std::optional<ReservationOutcome>& outcome)
    {
        server().beginRequest();
        server().ownMemory().add(wanted);
        asio::co_spawn(engine.executor(), reserve(outcome), asio::detached);
    }

    void end()
    {
        server().endRequest();
        server().ownMemory().remove(wanted);
        link.notifyUsageChanged(server());
    }

private:
    asio::awaitable<void> reserve(std::optional<ReservationOutcome>& outcome)
    {
        ReservationDemand demand {};
        demand.limits.slots = 64;
        demand.memory = wanted;
        const auto result = co_await link.requestReservation(server(), demand);
        if (result.outcome != ReservationOutcome::Granted) {
            server().endRequest();
            server().ownMemory().remove(wanted);
        }
        outcome = result.outcome;
    }

    SystemClock m_clock;
    NoProtocol m_protocol;

public:
    asio::io_context context;
    bool isFrozen = false;
    TrafficEngine engine;
    PeerLink link;
    Member member;
};

/** Two instances that have heard each other; one of them coordinates the server. */
class MemoryPair {
public:
    explicit MemoryPair(Guard guard = Guard::On)
        : first("entry-1", guard)
        , second("entry-2", guard)
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

    ReservationOutcome request(MemoryInstance& instance)
    {
        std::optional<ReservationOutcome> outcome;
        instance.request(outcome);
        REQUIRE(runUntil([&] { return outcome.has_value(); }));
        return *outcome;
    }

    /** Requests until one is granted. */
    bool isGrantedInTime(MemoryInstance& instance)
    {
        const auto until = std::chrono::steady_clock::now() + longest;
        while (std::chrono::steady_clock::now() < until) {
            if (request(instance) == ReservationOutcome::Granted)
                return true;
        }
        return false;
    }

    MemoryInstance first;
    MemoryInstance second;
    MemoryInstance* coordinator = nullptr;
    MemoryInstance* other = nullptr;
};

AdmittedRequest admittedRequest(const TrafficConfigurationPtr& with)
{
    AdmittedRequest admitted;
    admitted.configuration = with;
    admitted.service = "engines";
    return admitted;
}

}

// Guards against a server that crashes because several instances together send it more than its memory holds, and against
// memory that stays counted when a request has ended.
TEST_CASE("reservations of two instances are granted within the server's memory", "[server-memory]")
{
    MemoryPair pair;
    REQUIRE(pair.isGrantedInTime(*pair.other));
    REQUIRE(pair.isGrantedInTime(*pair.coordinator));
    REQUIRE(pair.isGrantedInTime(*pair.other));
    REQUIRE(pair.isGrantedInTime(*pair.coordinator));
    // 4 x 30,000 and 10,000 once; 140,000 of the 160,000 are granted.
    CHECK(pair.request(*pair.other) == ReservationOutcome::Denied);
    CHECK(pair.request(*pair.coordinator) == ReservationOutcome::Denied);
    CHECK(pair.coordinator->engine.counts().memoryDecisions.at(static_cast<size_t>(MemoryDecision::Full)) >= 2);
    pair.coordinator->end();
    CHECK(pair.isGrantedInTime(*pair.other));
    pair.other->end();
    CHECK(pair.isGrantedInTime(*pair.coordinator));
}

// Guards against requests that are sent without anyone who knows what the server holds.
TEST_CASE("without an answer of the coordinator nothing is sent to a server with a known memory", "[server-memory]")
{
    MemoryPair pair;
    REQUIRE(pair.isGrantedInTime(*pair.other));
    pair.coordinator->isFrozen = true;
    CHECK(pair.request(*pair.other) == ReservationOutcome::Denied);
    CHECK(pair.other->engine.counts().memoryUnanswered == 1);
    pair.coordinator->isFrozen = false;
    CHECK(pair.isGrantedInTime(*pair.other));
}

TEST_CASE("without the guard, reservations do not depend on the server's memory", "[server-memory]")
{
    MemoryPair pair(Guard::Off);
    for (int i = 0; i < 6; ++i)
        CHECK(pair.request(*pair.other) == ReservationOutcome::Granted);
    CHECK(pair.other->engine.serverMemory("engines") == 0);
}

// Guards against a request that waits until its deadline for memory that no server has.
TEST_CASE("a request larger than a server's memory is an error, whatever the servers hold", "[server-memory]")
{
    SystemClock clock;
    NoProtocol protocol;
    asio::io_context context;
    TrafficEngine engine(clock, context.get_executor(), protocol, settings(Guard::On));
    engine.setConfiguration(configuration());
    const auto admitted = admittedRequest(engine.configuration());
    RequestMetadata metadata;
    metadata.promptTokens = 100'000;
    metadata.maxOutputTokens = 40'000;
    CHECK(isOk(engine.checkServerMemory(metadata, admitted)));
    ++metadata.maxOutputTokens;
    const auto checked = engine.checkServerMemory(metadata, admitted);
    REQUIRE_FALSE(isOk(checked));
    CHECK(error(checked).kind == ErrorKind::NoEngineAvailable);
    CHECK_FALSE(error(checked).mayHaveRun());
    CHECK(engine.counts().memoryRejections == 1);
}

// Guards against a prefix that counts again for each request, and against tokens of a caller that are left out.
TEST_CASE("the memory of a request is its prompt and its maximum of output tokens, with the shared prefix apart", "[server-memory]")
{
    SystemClock clock;
    NoProtocol protocol;
    asio::io_context context;
    TrafficEngine engine(clock, context.get_executor(), protocol, settings(Guard::On));
    auto admitted = admittedRequest(nullptr);
    admitted.affinity = 9;
    admitted.prefixTokens = 800;
    RequestMetadata metadata;
    metadata.promptTokens = 1000;
    metadata.maxOutputTokens = 50;
    metadata.promptParts = { { 1, 800 }, { 2, 200 } };
    CHECK(engine.requestMemory(metadata, admitted) == RequestMemory { 250, { 9, 800 } });
    metadata.promptTokens = 10;
    CHECK(engine.requestMemory(metadata, admitted) == RequestMemory { 250, { 9, 800 } });
}

// Guards against an older release that cannot read messages where the memory of servers is not guarded, and against one
// that rejects the reports where it is.
TEST_CASE("messages state memory only where it is guarded, and malformed parts are errors", "[server-memory]")
{
    ReservationMessage message { "a", 1, 2, { 3, 4, 5 } };
    CHECK(parseCbor(encodeReservationMessage(message)).size() == 16);
    message.memory = MemoryClaim { wanted, { 3, 500, { { 6, 7 }, { 8, 9 } } } };
    const auto encoded = encodeReservationMessage(message);
    CHECK(std::get<ReservationMessage>(value(decodePeerMessage(encoded))) == message);
    auto document = parseCbor(encoded);
    document[16][3][1] = "text";
    CHECK_FALSE(isOk(decodePeerMessage(nlohmann::json::to_cbor(document))));
    document[16] = 5;
    CHECK_FALSE(isOk(decodePeerMessage(nlohmann::json::to_cbor(document))));

    PeerReport report { "a", 1, 2, true, {}, {} };
    CHECK(parseCbor(encodePeerReport(report)).size() == 11);
    report.memory = std::vector<MemoryUsage> { { 3, 500, { { 6, 7 } } }, { 4, 0, {} } };
    const auto rows = encodePeerReport(report);
    CHECK(value(decodePeerReport(rows)) == report);
    auto rowsDocument = parseCbor(rows);
    rowsDocument[11][0][1] = -1;
    CHECK_FALSE(isOk(decodePeerReport(nlohmann::json::to_cbor(rowsDocument))));
}
