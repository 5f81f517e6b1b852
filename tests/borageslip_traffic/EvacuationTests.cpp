#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <list>

using namespace borageslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

using Removal = EvacuationControl::Removal;

class NoProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields& fields) const override
    {
        RequestMetadata metadata;
        metadata.requestId = std::string(fields["Id"]);
        return metadata;
    }
    void prepareForwarding(HttpFields&, const ForwardingMetadata&) const override { }
    ResponseMetadata responseMetadata(unsigned status, const HttpFields& fields) const override
    {
        ResponseMetadata metadata;
        metadata.requestId = std::string(fields["Id"]);
        metadata.isNotRun = status == 503;
        return metadata;
    }
};

/** Records how a request ends. */
class OutcomeSink final : public ResponseSink {
public:
    asio::awaitable<bool> begin(const HttpResponseHead& head, std::optional<uint64_t>) override
    {
        status = head.result_int();
        co_return true;
    }
    asio::awaitable<bool> write(std::string_view) override { co_return true; }
    asio::awaitable<bool> end() override { co_return true; }
    void abort() override { }
    asio::awaitable<bool> sendError(const Error& failure) override
    {
        error = failure;
        co_return true;
    }
    bool hasBegun() const override { return status != 0; }
    bool isCallerDisconnected() const override { return false; }

    unsigned status = 0;
    std::optional<Error> error;
};

/** Backend server on loopback that answers each request after an optional hold, and counts the requests. */
class CountingServer {
public:
    explicit CountingServer(asio::io_context& context)
        : m_context(context)
        , m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    asio::ip::tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

    int requests = 0;
    Duration hold {}; ///< Time until it answers.
    std::function<void()> onConnected; ///< Called when it has accepted a connection.

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            boost::system::error_code failure;
            auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
                co_return;
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        std::string buffer;
        while (true) {
            boost::system::error_code failure;
            const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
                co_return;
            ++requests;
            const auto idAt = buffer.find("Id: ") + 4;
            const auto id = buffer.substr(idAt, buffer.find("\r\n", idAt) - idAt);
            buffer.erase(0, size);
            asio::steady_timer timer(m_context, std::chrono::duration_cast<std::chrono::milliseconds>(hold));
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
            const auto response = "HTTP/1.1 200 X\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok";
            co_await asio::async_write(socket, asio::buffer(response), asio::redirect_error(asio::use_awaitable, failure));
        }
    }

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

/** An instance without peers, and one server in each of some failure domains. */
class Scene {
public:
    explicit Scene(const std::vector<std::string>& domains, int slots = 0)
        : engine(m_clock, context.get_executor(), m_protocol, settings())
    {
        initialiseLog(Severity::Error, "tests");
        Route route;
        route.name = "r";
        route.host = "h";
        route.pathPrefix = "/";
        route.kind = RequestKind::Idempotent;
        route.timeout = 5s;
        route.latencyObjective = 5s;
        route.maxAttempts = 1;
        route.services.push_back({ "pool", 1 });
        TrafficService service { "pool" };
        service.coldStart = 3s;
        engine.setConfiguration(std::make_shared<const TrafficConfiguration>(value(TrafficConfigurationBuilder().setVersion(1).addService(service).addRoute(route).build())));
        for (const auto& domain : domains)
            list(domain, slots);
    }

    CountingServer& server(const std::string& domain) { return m_servers.at(domain); }
    BackendServer& listed(const std::string& domain) { return *engine.servers().all().at("i-" + domain); }

    struct Request {
        OutcomeSink sink {};
        std::shared_ptr<Exchange> exchange {};
        bool hasEnded = false;
    };

    Request& ask(size_t bodyBytes = 0)
    {
        auto& request = m_requests.emplace_back();
        HttpRequest message(boost::beast::http::verb::post, "/a", 11);
        message.set("Host", "h");
        message.set("Id", std::to_string(m_requests.size()));
        message.body() = std::string(bodyBytes, 'x');
        request.exchange = std::make_shared<Exchange>(engine, request.sink, std::move(message), m_clock.now());
        asio::co_spawn(context, request.exchange->run(), [&request](const std::exception_ptr&) { request.hasEnded = true; });
        return request;
    }

    /** Runs until all requests have ended. Returns false if that takes more than a time. */
    bool runUntilEnded(Duration limit = 4s)
    {
        const auto until = m_clock.now() + limit;
        while (std::any_of(m_requests.begin(), m_requests.end(), [](const auto& request) { return !request.hasEnded; }) && m_clock.now() < until)
            context.run_for(5ms);
        return m_clock.now() < until;
    }

    void run(std::chrono::milliseconds time) { context.run_for(time); }

    asio::io_context context;
    SystemClock m_clock;
    NoProtocol m_protocol;
    TrafficEngine engine;

private:
    static TrafficSettings settings()
    {
        TrafficSettings settings;
        settings.evacuableDomains = Evacuations::DomainSet { "a", "b", "c" };
        return settings;
    }

    void list(const std::string& domain, int slots)
    {
        auto& server = m_servers.try_emplace(domain, context).first->second;
        ServerDescription description;
        description.id = "i-" + domain;
        description.service = "pool";
        description.failureDomain = domain;
        description.address = server.address();
        description.slots = slots;
        engine.servers().apply(description);
    }

    std::map<std::string, CountingServer> m_servers;
    std::list<Request> m_requests;
};

ServerDescription serverIn(const std::string& domain, int64_t startedAtMs)
{
    ServerDescription description;
    description.id = "i";
    description.service = "pool";
    description.failureDomain = domain;
    description.startedAtMs = startedAtMs;
    return description;
}

}

// Guards against a server that gets requests in spite of an evacuation because of the order in which this instance learns of
// the evacuation, of the server, of its restart and of its removal.
TEST_CASE("a server is in service exactly while its domain is not evacuated, in every order of six events", "[evacuation]")
{
    initialiseLog(Severity::Error, "tests");
    constexpr size_t eventKinds = 7;
    constexpr size_t length = 6;
    size_t sequences = 1;
    for (size_t i = 0; i < length; ++i)
        sequences *= eventKinds;
    boost::asio::io_context context;
    size_t wrong = 0;
    for (size_t sequence = 0; sequence < sequences; ++sequence) {
        ManualClock clock;
        ServerTable table(clock, context.get_executor());
        EvacuationControl control(clock, table, Evacuations::DomainSet { "a", "b" }, [](std::string_view) { return Duration(3s); });
        Evacuations::DomainSet evacuated;
        std::string domain;
        for (size_t rest = sequence, step = 0; step < length; ++step, rest /= eventKinds) {
            const std::string changed = rest % 2 == 0 ? "a" : "b";
            switch (rest % eventKinds) {
            case 0:
            case 1:
                CHECK(isOk(control.begin(changed)));
                evacuated.insert(changed);
                break;
            case 2:
            case 3:
                control.end(changed, Removal::Confirmed, {});
                evacuated.erase(changed);
                break;
            case 4:
                table.apply(serverIn(domain = "a", 1));
                break;
            case 5:
                table.apply(serverIn(domain = "b", 1 + static_cast<int64_t>(step))); // Moved, mostly with a new start.
                break;
            default:
                table.remove("i");
                break;
            }
            for (const auto& [id, server] : table.all())
                wrong += server->isInService() == evacuated.contains(domain) ? 1 : 0;
        }
    }
    CHECK(wrong == 0);
}

// Guards against requests that overload servers which are cold because nothing was sent to them during an evacuation.
TEST_CASE("the servers of a domain count as cold for the configured time after its evacuation", "[evacuation]")
{
    Scene scene({ "a", "b" });
    CHECK(isOk(scene.engine.evacuation().begin("a")));
    scene.engine.evacuation().end("a", Removal::Confirmed, {});
    const auto now = scene.m_clock.now();
    CHECK(scene.listed("a").isCold(now + 2900ms));
    CHECK_FALSE(scene.listed("a").isCold(now + 3100ms));
    CHECK_FALSE(scene.listed("b").isCold(now));
    // An entry that says nothing of it does not end the assumption.
    auto description = scene.listed("a").description();
    scene.engine.servers().apply(description);
    CHECK(scene.listed("a").isCold(now + 2900ms));
}

// Guards against the end of an evacuation by a key that the store has lost for a moment.
TEST_CASE("an evacuation whose key is missing after an outage ends two seconds later, unless the key is written again", "[evacuation]")
{
    initialiseLog(Severity::Error, "tests");
    boost::asio::io_context context;
    ManualClock clock;
    ServerTable table(clock, context.get_executor());
    EvacuationControl control(clock, table, Evacuations::DomainSet { "a", "b" }, [](std::string_view) { return Duration(); });
    table.apply(serverIn("a", 1));
    const auto server = table.all().at("i");
    CHECK(isOk(control.begin("a")));
    control.end("a", Removal::AfterOutage, {});
    clock.advance(1900ms);
    control.maintain();
    CHECK(server->isEvacuated());
    CHECK(isOk(control.begin("a")));
    clock.advance(5s);
    control.maintain();
    CHECK(server->isEvacuated());
    control.end("a", Removal::AfterOutage, {});
    clock.advance(2s);
    control.maintain();
    CHECK_FALSE(server->isEvacuated());
}

// Guards against an instance that reads from others and takes the end of an outage for a removal, because no call of its own
// had failed for long.
TEST_CASE("an evacuation whose key is missing after polls have failed ends two seconds later, too", "[evacuation]")
{
    initialiseLog(Severity::Error, "tests");
    boost::asio::io_context context;
    ManualClock clock;
    ServerTable table(clock, context.get_executor());
    EvacuationControl control(clock, table, Evacuations::DomainSet { "a", "b" }, [](std::string_view) { return Duration(); });
    CHECK(isOk(control.begin("a")));
    control.end("a", Removal::Confirmed, 1400ms);
    control.maintain();
    CHECK(control.activeCount() == 1);
    clock.advance(2s);
    control.maintain();
    CHECK(control.activeCount() == 0);
    CHECK(isOk(control.begin("a")));
    control.end("a", Removal::Confirmed, 1250ms);
    CHECK(control.activeCount() == 0);
}

TEST_CASE("without settings for it, an evacuation has no effect", "[evacuation]")
{
    boost::asio::io_context context;
    ManualClock clock;
    ServerTable table(clock, context.get_executor());
    EvacuationControl control(clock, table, std::nullopt, [](std::string_view) { return Duration(); });
    table.apply(serverIn("a", 1));
    CHECK(isOk(control.begin("a")));
    CHECK_FALSE(control.isEnabled());
    CHECK(table.all().at("i")->isInService());
}

// Guards against a request that reaches an evacuated server on a connection that was being opened, or that was kept, when the
// evacuation became known; and against one that fails because of it although its route allows only one attempt.
TEST_CASE("a request whose connection is being opened when its server is evacuated goes to another server", "[evacuation]")
{
    Scene scene({ "a", "b" });
    const size_t bodyBytes = GENERATE(0, 200'000); // A long body is written by a coroutine of its own.
    bool isKept = false;
    SECTION("on a new connection") { }
    SECTION("on a kept connection")
    {
        scene.ask();
        scene.ask();
        REQUIRE(scene.runUntilEnded());
        isKept = true;
    }
    const int earlierA = scene.server("a").requests;
    const int earlierB = scene.server("b").requests;
    std::vector<Scene::Request*> requests;
    requests.reserve(6);
    for (int i = 0; i < 6; ++i)
        requests.push_back(&scene.ask(bodyBytes));
    // After the choice of the server, and before the bytes are written: a new connection takes a turn of the event loop.
    while (scene.listed("a").ownInFlight() == 0)
        REQUIRE(scene.context.poll_one() == 1);
    CHECK(isOk(scene.engine.evacuation().begin("a")));
    // A short request on a kept connection is written in the turn of its choice, and arrives later.
    const int written = isKept && bodyBytes == 0 ? scene.listed("a").ownInFlight() : 0;
    REQUIRE(scene.runUntilEnded());
    for (const auto* request : requests)
        CHECK(request->sink.status == 200);
    INFO("kept connection: " << isKept << ", body: " << bodyBytes);
    CHECK(scene.server("a").requests - earlierA == written);
    CHECK(scene.server("a").requests - earlierA + scene.server("b").requests - earlierB == 6);
    if (written == 0)
        CHECK(scene.engine.counts().evacuationAbandons > 0);
}

// Guards against a request that waits for a slot of an evacuated server until its deadline, and against a rejection that does
// not say that the request has not run.
TEST_CASE("requests that wait are rejected as not run at once when all servers of their service are evacuated", "[evacuation]")
{
    Scene scene({ "a", "b" }, 1);
    scene.server("a").hold = 800ms;
    scene.server("b").hold = 800ms;
    auto& first = scene.ask();
    auto& second = scene.ask();
    std::vector<Scene::Request*> waiting;
    waiting.reserve(5);
    for (int i = 0; i < 5; ++i)
        waiting.push_back(&scene.ask());
    scene.run(100ms);
    CHECK(scene.engine.waitingCount() == 5);
    CHECK(isOk(scene.engine.evacuation().begin("a")));
    scene.run(20ms);
    CHECK(scene.engine.waitingCount() == 5);
    CHECK(isOk(scene.engine.evacuation().begin("b")));
    scene.run(30ms);
    for (const auto* request : waiting) {
        REQUIRE(request->sink.error);
        CHECK(request->sink.error->kind == ErrorKind::NoEngineAvailable);
        CHECK_FALSE(request->sink.error->mayHaveRun());
        CHECK(request->sink.error->retryAfter);
    }
    auto& late = scene.ask();
    scene.run(20ms);
    CHECK(late.sink.error);
    CHECK(scene.engine.counts().evacuationRejections == 6);
    // What runs there may run to completion.
    REQUIRE(scene.runUntilEnded());
    CHECK(first.sink.status == 200);
    CHECK(second.sink.status == 200);
    scene.engine.evacuation().end("a", Removal::Confirmed, {});
    auto& after = scene.ask();
    REQUIRE(scene.runUntilEnded());
    CHECK(after.sink.status == 200);
    CHECK(scene.server("b").requests == 1);
}

// Guards against a load cap above the multiple of the mean over all servers, and against one that keeps requests from the few
// servers that are left.
TEST_CASE("evacuated servers count in the mean load unless they are most of their service", "[evacuation]")
{
    Scene scene({ "a", "b", "c" });
    for (int i = 0; i < 6; ++i)
        scene.listed("a").beginRequest();
    CHECK(scene.engine.meanInFlight("pool") == 2);
    CHECK(isOk(scene.engine.evacuation().begin("a")));
    CHECK(scene.engine.meanInFlight("pool") == 2);
    CHECK(isOk(scene.engine.evacuation().begin("b")));
    CHECK(scene.engine.meanInFlight("pool") == 0);
    scene.engine.evacuation().end("b", Removal::Confirmed, {});
    CHECK(scene.engine.unavailableServers("pool") == std::vector<uint64_t> { scene.listed("a").hash() });
    for (int i = 0; i < 6; ++i)
        scene.listed("a").endRequest();
}
