#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>
#include <list>
#include <set>
#include <sstream>

using namespace borageslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/** Reads the parts of a prompt from the field "Parts", as numbers separated by spaces. */
class PromptProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields& fields) const override
    {
        RequestMetadata metadata;
        metadata.requestId = std::string(fields["Id"]);
        metadata.model = "m";
        std::istringstream parts { std::string(fields["Parts"]) };
        for (uint64_t part = 0; parts >> part;)
            metadata.promptParts.push_back({ part, 10 });
        return metadata;
    }

    void prepareForwarding(HttpFields& fields, const ForwardingMetadata& metadata) const override
    {
        if (metadata.resumeAfter)
            fields.set("Resume-After", std::string(*metadata.resumeAfter));
    }

    ResponseMetadata responseMetadata(unsigned, const HttpFields& fields) const override
    {
        ResponseMetadata metadata;
        const auto id = fields["Id"];
        metadata.requestId = { id.data(), id.size() };
        return metadata;
    }
};

/** A backend server that streams five events and crashes on a prompt with a certain part. */
class CrashingServer {
public:
    static constexpr uint64_t crashingPart = 666;
    static constexpr int eventCount = 5;

    /** @param eventsBeforeCrash events of the attempt that it sends before it crashes. */
    CrashingServer(asio::io_context& context, const Clock& clock, int eventsBeforeCrash)
        : m_context(context)
        , m_clock(clock)
        , m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
        , m_endpoint(m_acceptor.local_endpoint())
        , m_eventsBeforeCrash(eventsBeforeCrash)
    {
        asio::co_spawn(m_context, accept(), asio::detached);
    }

    const asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }
    const std::vector<TimePoint>& crashes() const { return m_crashes; }

    /** Listens again after a crash. */
    void restart()
    {
        if (m_acceptor.is_open())
            return;
        m_acceptor = asio::ip::tcp::acceptor(m_context, m_endpoint);
        asio::co_spawn(m_context, accept(), asio::detached);
    }

    void stop() { m_acceptor.close(); }
    void setRestartsAtOnce() { m_restartsAtOnce = true; }

private:
    asio::awaitable<void> accept()
    {
        while (m_acceptor.is_open()) {
            boost::system::error_code failure;
            auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
                co_return;
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    static std::string fieldOf(const std::string& head, const std::string& name)
    {
        const auto start = head.find("\r\n" + name + ": ");
        if (start == std::string::npos)
            return {};
        const auto from = start + name.size() + 4;
        return head.substr(from, head.find("\r\n", from) - from);
    }

    static std::string event(int number) { return "id: " + std::to_string(number) + "\ndata: x\n\n"; }

    struct Reply {
        std::string bytes;
        bool isCrash = false;
    };

    Reply responseTo(const std::string& head) const
    {
        const auto parts = " " + fieldOf(head, "Parts") + " ";
        const auto resumeAfter = fieldOf(head, "Resume-After");
        const int first = resumeAfter.empty() ? 1 : std::stoi(resumeAfter) + 1;
        std::string body;
        std::string begun;
        for (int number = first; number <= eventCount; ++number) {
            body += event(number);
            if (number < first + m_eventsBeforeCrash)
                begun = body;
        }
        const bool isCrash = parts.find(" " + std::to_string(crashingPart) + " ") != std::string::npos || head.find("/deadly") != std::string::npos;
        const size_t missing = isCrash ? 1 : 0; // A crash leaves the response incomplete even after its last event.
        const auto responseHead = "HTTP/1.1 200 OK\r\nId: " + fieldOf(head, "Id") + "\r\nContent-Type: text/event-stream\r\nContent-Length: " + std::to_string(body.size() + missing) + "\r\n\r\n";
        return { responseHead + (isCrash ? begun : body), isCrash };
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        std::string buffer;
        while (true) {
            boost::system::error_code failure;
            const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
                co_return;
            const auto head = buffer.substr(0, size);
            buffer.erase(0, size);
            const auto reply = responseTo(head);
            co_await asio::async_write(socket, asio::buffer(reply.bytes), asio::redirect_error(asio::use_awaitable, failure));
            if (reply.isCrash) {
                m_crashes.push_back(m_clock.now());
                if (!m_restartsAtOnce)
                    m_acceptor.close();
            }
            if (failure || reply.isCrash)
                co_return;
        }
    }

    asio::io_context& m_context;
    const Clock& m_clock;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_endpoint;
    int m_eventsBeforeCrash;
    std::vector<TimePoint> m_crashes;
    bool m_restartsAtOnce = false;
};

/** Takes a response and drops it. */
class DroppingSink final : public ResponseSink {
public:
    asio::awaitable<bool> begin(const HttpResponseHead&, std::optional<uint64_t>) override { co_return true; }
    asio::awaitable<bool> write(std::string_view bytes) override
    {
        m_hasBegun = true;
        body += bytes;
        co_return true;
    }
    asio::awaitable<bool> end() override
    {
        isComplete = true;
        co_return true;
    }
    void abort() override { }
    asio::awaitable<bool> sendError(const Error& error) override
    {
        failure = error.kind;
        co_return true;
    }
    bool hasBegun() const override { return m_hasBegun; }
    bool isCallerDisconnected() const override { return false; }

    std::string body;
    bool isComplete = false;
    std::optional<ErrorKind> failure;

private:
    bool m_hasBegun = false;
};

/** Runs with real time and can be set forward, so that crashes are apart. */
class ForwardClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now() + m_offset; }
    std::chrono::system_clock::time_point wallTime() const override { return std::chrono::system_clock::now(); }
    void advance(Duration duration) { m_offset += duration; }

private:
    Duration m_offset {};
};

/** One instance with servers that crash. */
class CrashScene {
public:
    CrashScene(int eventsBeforeCrash, bool isResumable)
        : m_engine(m_clock, m_context.get_executor(), m_protocol, settings())
    {
        Route route;
        route.name = "stream";
        route.host = "h";
        route.pathPrefix = "/stream/";
        route.kind = RequestKind::Stream;
        route.timeout = 20s;
        route.latencyObjective = 20s;
        route.maxAttempts = isResumable ? 2 : 1;
        route.isResumable = isResumable;
        route.services.push_back({ "pool", 1 });
        TrafficConfigurationBuilder builder;
        builder.setVersion(1).addService({ "pool" }).addRoute(route);
        m_engine.setConfiguration(std::make_shared<const TrafficConfiguration>(value(builder.build())));
        for (int i = 0; i < 6; ++i) {
            auto& server = m_servers.emplace_back(m_context, m_clock, eventsBeforeCrash);
            list(server, i, 1);
        }
    }

    ~CrashScene()
    {
        for (auto& server : m_servers)
            server.stop();
        m_context.restart();
        m_context.run_for(100ms);
    }

    DroppingSink ask(const std::string& parts, const std::string& target = "/stream/a")
    {
        HttpRequest request(boost::beast::http::verb::get, target, 11);
        request.set("Host", "h");
        request.set("Id", std::to_string(++m_nextId));
        request.set("Parts", parts);
        DroppingSink sink;
        bool isDone = false;
        asio::co_spawn(
            m_context, [exchange = std::make_shared<Exchange>(m_engine, sink, std::move(request), m_clock.now())] { return exchange->run(); },
            [&](const std::exception_ptr& failure) {
                isDone = true;
                if (failure)
                    std::rethrow_exception(failure);
            });
        m_context.restart();
        const auto until = std::chrono::steady_clock::now() + 15s;
        while (!isDone && std::chrono::steady_clock::now() < until)
            m_context.run_one_for(100ms);
        REQUIRE(isDone);
        // The check of a server whose result nobody waits for.
        m_context.restart();
        m_context.run_for(20ms);
        for (auto& server : m_servers)
            server.restart();
        m_clock.advance(1s);
        return sink;
    }

    /** Requests that crashed a server later than the platform allows after the fifth crash. */
    long lateCrashes() const
    {
        constexpr Duration contactTime = 3s;
        std::vector<TimePoint> times;
        for (const auto& server : m_servers)
            times.insert(times.end(), server.crashes().begin(), server.crashes().end());
        std::sort(times.begin(), times.end());
        return times.size() < 5 ? 0 : std::count_if(times.begin(), times.end(), [&](TimePoint at) { return at > times[4] + contactTime; });
    }

    /** Makes the servers listen on through their crashes, and lists them with a new start after each. */
    void setServersRestartAtOnce()
    {
        for (auto& server : m_servers)
            server.setRestartsAtOnce();
    }

    void listRestartedServers()
    {
        int number = 0;
        for (const auto& server : m_servers) {
            list(server, number, 1 + static_cast<int64_t>(server.crashes().size()));
            ++number;
        }
    }

    void setListener(PromptHealthListener* listener) { m_engine.setPromptHealthListener(listener); }

private:
    void list(const CrashingServer& server, int number, int64_t startedAt)
    {
        ServerDescription description;
        description.id = "server" + std::to_string(number);
        description.service = "pool";
        description.address = server.endpoint();
        description.startedAtMs = startedAt;
        m_engine.servers().apply(description);
    }

    static TrafficSettings settings()
    {
        TrafficSettings settings;
        settings.retryBudget = { 0, 1e9, 10s };
        return settings;
    }

    asio::io_context m_context;
    ForwardClock m_clock;
    PromptProtocol m_protocol;
    TrafficEngine m_engine;
    std::list<CrashingServer> m_servers;
    int m_nextId = 0;
};

/** Asks with and without the crashing part by turns, and checks that the part is quarantined in time and sound requests are
    served. */
void checkPartIsQuarantined(CrashScene& scene)
{
    for (int i = 0; i < 20; ++i) {
        scene.ask("1 2 666 " + std::to_string(1000 + i));
        CHECK(scene.ask("1 2 " + std::to_string(2000 + i)).isComplete);
    }
    CHECK(scene.lateCrashes() <= 3);
    CHECK(scene.ask("1 2 666 5000").failure == ErrorKind::PromptQuarantined);
}

}

// Guards against a threshold for suspects that differs from the one that clears them: a crash between the two goes unseen.
TEST_CASE("a prompt part that crashes servers before a response progresses is quarantined, wherever the crash falls", "[quarantine]")
{
    for (const bool isResumable : { false, true }) {
        for (const int events : { 0, 1 }) {
            INFO("events before the crash " << events << ", resumable " << isResumable);
            CrashScene scene(events, isResumable);
            checkPartIsQuarantined(scene);
        }
    }
}

// Guards against evidence that is dropped once a response has progressed: a crash may come after any number of events.
TEST_CASE("a prompt part that crashes servers after some events is quarantined", "[quarantine]")
{
    for (const bool isResumable : { false, true }) {
        for (const int events : { 2, 3, CrashingServer::eventCount }) {
            INFO("events before the crash " << events << ", resumable " << isResumable);
            CrashScene scene(events, isResumable);
            checkPartIsQuarantined(scene);
        }
    }
}

// Guards against a request that crashes each server it is repeated at, while sound requests share all parts of its prompt
// but the last, which the fingerprint of the prompt leaves out.
TEST_CASE("a request that crashes servers is quarantined and sound requests with the same shared parts are served", "[quarantine]")
{
    const std::vector<std::pair<std::string, std::string>> requests { { "1 2 666", "/stream/a" }, { "666", "/stream/a" }, { "", "/stream/deadly" } };
    for (const auto& [parts, target] : requests) {
        for (const int events : { 0, 1, 3 }) {
            INFO("parts \"" << parts << "\", events before the crash " << events);
            CrashScene scene(events, true);
            for (int i = 0; i < 20; ++i) {
                scene.ask(parts, target);
                CHECK(scene.ask("1 2 " + std::to_string(2000 + i)).isComplete);
                CHECK(scene.ask("", "/stream/sound").isComplete);
            }
            CHECK(scene.lateCrashes() <= 3);
            CHECK(scene.ask(parts, target).failure == ErrorKind::PromptQuarantined);
        }
    }
}

TEST_CASE("a part that crashes servers is quarantined in prompts with hundreds of parts", "[quarantine]")
{
    for (const int turns : { 40, 400 }) {
        INFO("turns " << turns);
        CrashScene scene(0, false);
        for (int i = 0; i < 12; ++i) {
            std::string chat = "1 2 ";
            for (int turn = 0; turn < turns; ++turn)
                chat += std::to_string(10'000 * (1 + i % 4) + turn) + " ";
            scene.ask(chat + "666 " + std::to_string(1'000'000 + i));
            CHECK(scene.ask(chat + std::to_string(2'000'000 + i)).isComplete);
        }
        CHECK(scene.lateCrashes() <= 3);
        CHECK(scene.ask("1 2 666 5000").failure == ErrorKind::PromptQuarantined);
    }
}

// Guards against messages that are too long to be sent, or that leave out parts of a long prompt.
TEST_CASE("the notices of a crash have bounded sizes and all parts of the prompts", "[quarantine]")
{
    class Recorder final : public PromptHealthListener {
    public:
        void serverCrashed(const ServerCrash& crash) override
        {
            sizes.push_back(encodeServerCrashNotice({ "instance", crash }).size());
            for (const auto& suspect : crash.suspects) {
                if (suspect.model == "m")
                    parts.insert(suspect.parts.begin(), suspect.parts.end());
            }
        }
        void partsCleared(const PromptFingerprint&) override { }

        std::vector<size_t> sizes;
        std::set<uint64_t> parts;
    } recorder;
    CrashScene scene(0, false);
    scene.setListener(&recorder);
    std::string chat;
    for (int turn = 0; turn < 900; ++turn)
        chat += std::to_string(10'000 + turn) + " ";
    scene.ask(chat + "666 7");
    CHECK(recorder.parts.size() == 901);
    for (const auto size : recorder.sizes)
        CHECK(size < 8 * 1024);
}

// Guards against a server that is back before the check connects to it and is taken for one that has not crashed.
TEST_CASE("a part that crashes servers is quarantined if they listen again at once", "[quarantine]")
{
    CrashScene scene(0, false);
    scene.setServersRestartAtOnce();
    for (int i = 0; i < 20; ++i) {
        scene.ask("1 2 666 " + std::to_string(1000 + i));
        scene.listRestartedServers();
        CHECK(scene.ask("1 2 " + std::to_string(2000 + i)).isComplete);
    }
    CHECK(scene.lateCrashes() <= 3);
    CHECK(scene.ask("1 2 666 5000").failure == ErrorKind::PromptQuarantined);
}
