#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <list>
#include <map>

using namespace borageslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

class FixedProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields&) const override
    {
        RequestMetadata metadata;
        metadata.requestId = "r";
        return metadata;
    }
    void prepareForwarding(HttpFields&, const ForwardingMetadata&) const override { }
    ResponseMetadata responseMetadata(unsigned, const HttpFields&) const override
    {
        ResponseMetadata metadata;
        metadata.requestId = "r";
        return metadata;
    }
};

class CountingSink final : public ResponseSink {
public:
    asio::awaitable<bool> begin(const HttpResponseHead& head, std::optional<uint64_t>) override
    {
        status = head.result_int();
        co_return true;
    }
    asio::awaitable<bool> write(std::string_view) override { co_return true; }
    asio::awaitable<bool> end() override { co_return true; }
    void abort() override { }
    asio::awaitable<bool> sendError(const Error& error) override
    {
        failure = error;
        co_return true;
    }
    bool hasBegun() const override { return false; }
    bool isCallerDisconnected() const override { return false; }

    unsigned status = 0;
    std::optional<Error> failure {};
};

/** Grants the given permits, one for each request. */
class ScriptedPermits final : public ColdPermitSource {
public:
    asio::awaitable<std::optional<ColdPermit>> requestPermit(std::string, std::vector<uint64_t>) override
    {
        ++requests;
        std::optional<ColdPermit> permit;
        if (!script.empty()) {
            permit = script.front();
            script.pop_front();
        }
        co_return permit;
    }
    bool mayHavePermits(std::string_view) const override { return true; }
    void announceCold(uint64_t, std::chrono::milliseconds) override { }

    std::deque<std::optional<ColdPermit>> script;
    int requests = 0;
};

/** An instance with backend servers on loopback that answer each request. */
class ColdScene {
public:
    ColdScene()
        : engine(clock, m_context.get_executor(), m_protocol, {})
    {
        engine.coldServers().setPermitSource(&permits);
        TrafficConfigurationBuilder builder;
        TrafficService pool { "pool" };
        pool.coldRequestsPerSecond = 18;
        pool.coldStart = 3s;
        Route route;
        route.name = route.host = "h";
        route.pathPrefix = "/";
        route.kind = RequestKind::AtMostOnce;
        route.timeout = route.latencyObjective = 300ms;
        route.maxAttempts = 1;
        route.services.push_back({ "pool", 1 });
        builder.setVersion(1).addService(pool).addRoute(route);
        engine.setConfiguration(std::make_shared<const TrafficConfiguration>(value(builder.build())));
    }
    ~ColdScene() { engine.coldServers().setPermitSource(nullptr); }

    uint64_t add(const std::string& id)
    {
        auto& acceptor = m_acceptors.emplace_back(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        ServerDescription description;
        description.id = id;
        description.service = "pool";
        description.address = acceptor.local_endpoint();
        description.slots = 4;
        engine.servers().apply(std::move(description));
        const auto hash = server(id).hash();
        asio::co_spawn(m_context, accept(acceptor, arrivals[hash]), asio::detached);
        return hash;
    }

    BackendServer& server(const std::string& id) { return *engine.servers().all().at(id); }

    void request()
    {
        HttpRequest request;
        request.method(boost::beast::http::verb::post);
        request.target("/a");
        request.set(boost::beast::http::field::host, "h");
        auto exchange = std::make_shared<Exchange>(engine, sink, std::move(request), clock.now());
        bool hasEnded = false;
        asio::co_spawn(
            m_context, [exchange]() { return exchange->run(); }, [&](const std::exception_ptr&) { hasEnded = true; });
        m_context.restart();
        const auto until = std::chrono::steady_clock::now() + 5s;
        while (!hasEnded && std::chrono::steady_clock::now() < until)
            m_context.run_one_for(10ms);
        REQUIRE(hasEnded);
    }

    SystemClock clock;
    std::map<uint64_t, int> arrivals;
    ScriptedPermits permits;
    CountingSink sink;

private:
    asio::awaitable<void> accept(asio::ip::tcp::acceptor& acceptor, int& count)
    {
        boost::system::error_code failure;
        while (!failure) {
            auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
            if (!failure)
                asio::co_spawn(m_context, serve(std::move(socket), count), asio::detached);
        }
    }

    static asio::awaitable<void> serve(asio::ip::tcp::socket socket, int& count)
    {
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        std::string buffer;
        boost::system::error_code failure;
        while (!failure) {
            const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
                co_return;
            buffer.erase(0, size);
            ++count;
            co_await asio::async_write(socket, asio::buffer(response), asio::redirect_error(asio::use_awaitable, failure));
        }
    }

    asio::io_context m_context;
    std::list<asio::ip::tcp::acceptor> m_acceptors;
    FixedProtocol m_protocol;

public:
    TrafficEngine engine;
};

}

// Guards against a request that reaches a cold server by a permit that has expired, or that is given up or counted as sent
// because of it.
TEST_CASE("a request without a valid permit goes on to another server and is not counted as sent", "[cold]")
{
    ColdScene scene;
    const auto first = scene.add("first");
    const auto second = scene.add("second");
    for (const auto* id : { "first", "second" })
        scene.server(id).assumeColdFor(1min);
    const auto now = scene.clock.now();
    scene.permits.script = { ColdPermit { first, now }, ColdPermit { second, now + 1min } };
    scene.request();
    CHECK(scene.sink.status == 200);
    CHECK(scene.arrivals[first] == 0);
    CHECK(scene.arrivals[second] == 1);
    CHECK(scene.engine.counts().coldSendsWithheld == 1);
}

// Guards against a request to a cold server without a permit, and against its rejection as one that may have run.
TEST_CASE("a request for which there is no permit is rejected as not run", "[cold]")
{
    ColdScene scene;
    const auto server = scene.add("only");
    scene.server("only").assumeColdFor(1min);
    SECTION("nobody grants one") { }
    SECTION("all of them have expired") { scene.permits.script.assign(20, ColdPermit { server, scene.clock.now() }); }
    SECTION("it is for another server that is cold") { scene.permits.script.assign(20, ColdPermit { server + 1, scene.clock.now() + 1min }); }
    scene.request();
    CHECK(scene.arrivals[server] == 0);
    REQUIRE(scene.sink.failure);
    CHECK_FALSE(scene.sink.failure->mayHaveRun());
}

// Guards against a server that becomes cold while the connection to it is being opened.
TEST_CASE("a request that was meant for a warm server is withheld when the server has become cold", "[cold]")
{
    ColdScene scene;
    const auto server = scene.add("only");
    SECTION("it stays warm")
    {
        scene.request();
        CHECK(scene.arrivals[server] == 1);
        CHECK(scene.permits.requests == 0);
    }
    SECTION("it is cold at the last check")
    {
        CHECK(scene.engine.coldServers().maySend(scene.server("only"), std::nullopt));
        scene.engine.coldServers().recordUnreachable(scene.server("only"));
        CHECK_FALSE(scene.engine.coldServers().maySend(scene.server("only"), std::nullopt));
    }
}
