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
#include <list>
#include <map>

using namespace borageslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::string_view fullResponse = "the whole answer";
constexpr std::string_view fullStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

// Behaviours of a backend server on receipt of a request; each is a letter of the request path:
// O responds, N reports "not run", M reports a misdirected request, L closes without a response, F fails with status
// 500,
// T truncates the response, X sends a response to another request first, E sends extra bytes after the response,
// S stays silent.
constexpr std::string_view behaviours = "ONMLFTXES";
constexpr std::string_view executingBehaviours = "OLFTXES"; ///< The behaviours that run the request.

/** Minimal protocol with the header fields of these tests. */
class ScriptedProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields& fields) const override
    {
        RequestMetadata metadata;
        metadata.requestId = text(fields, "Id");
        metadata.timeLeft = std::chrono::milliseconds(std::stol(text(fields, "Time-Left")));
        return metadata;
    }

    void prepareForwarding(HttpFields& fields, const ForwardingMetadata& metadata) const override
    {
        if (metadata.resumeAfter)
            fields.set("Resume-After", std::string(*metadata.resumeAfter));
    }

    ResponseMetadata responseMetadata(unsigned status, const HttpFields& fields) const override
    {
        ResponseMetadata metadata;
        const auto id = fields["Id"];
        metadata.requestId = { id.data(), id.size() };
        metadata.isNotRun = status == 503 && !fields["Not-Run"].empty();
        metadata.isMisdirected = status == 421;
        return metadata;
    }

private:
    static std::string text(const HttpFields& fields, const char* name) { return std::string(fields[name]); }
};

/** How often a request reached the servers and ran on them. */
struct ObservedRequest {
    int arrivals = 0;
    int runs = 0;
};

/** Backend servers on loopback whose behaviour is scripted by the request path. */
class ScriptedServers {
public:
    explicit ScriptedServers(asio::io_context& context)
        : m_context(context)
    {
    }

    asio::ip::tcp::endpoint open()
    {
        auto& acceptor = m_acceptors.emplace_back(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        asio::co_spawn(m_context, accept(acceptor), asio::detached);
        return acceptor.local_endpoint();
    }

    /** Returns an address on which no server listens. */
    asio::ip::tcp::endpoint openUnreachable()
    {
        asio::ip::tcp::acceptor acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        return acceptor.local_endpoint();
    }

    void close() { m_acceptors.clear(); }
    const ObservedRequest& seen(const std::string& id) { return m_seen[id]; }

private:
    using Socket = asio::ip::tcp::socket;

    asio::awaitable<void> accept(asio::ip::tcp::acceptor& acceptor)
    {
        while (acceptor.is_open()) {
            boost::system::error_code failure;
            auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
                co_return;
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(Socket socket)
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
            if (reply.isSilent) {
                // Wait until the other side closes the connection.
                co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, failure));
                co_return;
            }
            co_await asio::async_write(socket, asio::buffer(reply.bytes), asio::redirect_error(asio::use_awaitable, failure));
            if (failure || reply.closes)
                co_return;
        }
    }

    struct Reply {
        std::string bytes;
        bool closes = false;
        bool isSilent = false;
    };

    static std::string fieldOf(const std::string& head, const std::string& name)
    {
        const auto start = head.find("\r\n" + name + ": ");
        if (start == std::string::npos)
            return {};
        const auto from = start + name.size() + 4;
        return head.substr(from, head.find("\r\n", from) - from);
    }

    static std::string message(int status, const std::string& id, std::string_view body, const std::string& more = "")
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
    }

    Reply responseTo(const std::string& head)
    {
        const auto id = fieldOf(head, "Id");
        const auto path = head.substr(head.find('/'), head.find(" HTTP") - head.find('/'));
        const auto script = path.substr(path.rfind('/') + 1);
        const bool isStream = path.starts_with("/stream") || path.starts_with("/resumable");
        auto& seen = m_seen[id];
        const auto position = static_cast<size_t>(seen.arrivals++);
        const char behaviour = position < script.size() ? script[position] : 'O';
        seen.runs += executingBehaviours.find(behaviour) == std::string_view::npos ? 0 : 1;
        const std::string_view whole = isStream ? fullStream : fullResponse;
        const auto resumeAfter = fieldOf(head, "Resume-After");
        const auto rest = resumeAfter == "1" ? whole.substr(whole.size() / 2) : whole;
        switch (behaviour) {
        case 'N':
            return { message(503, id, "", "Not-Run: 1\r\n") };
        case 'M':
            return { message(421, id, "") };
        case 'L':
            return { "", true };
        case 'F':
            return { message(500, id, "failed") };
        case 'T': {
            // A stream is cut within its second event, any other response within its body.
            const auto full = message(200, id, rest);
            return { full.substr(0, full.size() - (isStream ? 3 : 8)), true };
        }
        case 'X':
            return { message(200, "another", "an answer to another request") + message(200, id, rest) };
        case 'E':
            return { message(200, id, rest) + message(200, "another", "bytes nobody asked for") };
        case 'S':
            return { "", false, true };
        default:
            return { message(200, id, rest) };
        }
    }

    asio::io_context& m_context;
    std::list<asio::ip::tcp::acceptor> m_acceptors;
    std::map<std::string, ObservedRequest> m_seen;
};

/** Records the response that a caller would have received. */
class RecordingSink final : public ResponseSink {
public:
    asio::awaitable<bool> begin(const HttpResponseHead& head, std::optional<uint64_t>) override
    {
        lateBegins += m_hasBegun ? 1 : 0;
        status = head.result_int();
        co_return true;
    }
    asio::awaitable<bool> write(std::string_view bytes) override
    {
        m_hasBegun = true;
        body += bytes;
        co_return true;
    }
    asio::awaitable<bool> end() override
    {
        m_hasBegun = true;
        ++ends;
        co_return true;
    }
    void abort() override { ++aborts; }
    asio::awaitable<bool> sendError(const Error& error) override
    {
        lateErrors += m_hasBegun ? 1 : 0;
        errors.push_back(error);
        co_return true;
    }
    bool hasBegun() const override { return m_hasBegun; }
    bool isCallerDisconnected() const override { return false; }

    int lateBegins = 0; ///< Calls of begin() after bytes of a response had been sent.
    int lateErrors = 0;
    int ends = 0;
    int aborts = 0;
    unsigned status = 0;
    std::string body;
    std::vector<Error> errors;

private:
    bool m_hasBegun = false; ///< As in CallerSession: bytes of the response have been sent.
};

struct KindRow {
    std::string name;
    RequestKind kind = RequestKind::Idempotent;
    int maxAttempts = 1;
    bool isResumable = false;
};

const std::vector<KindRow> s_kinds {
    { "repeat1", RequestKind::Idempotent, 1 },
    { "repeat2", RequestKind::Idempotent, 2 },
    { "repeat3", RequestKind::Idempotent, 3 },
    { "once1", RequestKind::AtMostOnce, 1 },
    { "once3", RequestKind::AtMostOnce, 3 },
    { "stream2", RequestKind::Stream, 2 },
    { "resumable3", RequestKind::Stream, 3, true },
};

/** All scripts of three letters, one behaviour for each of the first three sends. */
std::vector<std::string> allScripts()
{
    std::vector<std::string> scripts;
    for (const char first : behaviours) {
        for (const char second : behaviours) {
            for (const char third : behaviours)
                scripts.push_back({ first, second, third });
        }
    }
    return scripts;
}

/** Runs every kind of route with every script against the scripted servers and checks the guarantees to callers. */
class ExchangeExplorer {
public:
    /** @param reserve number of retries that the budget allows.
        @param hasUnreachableServers whether two of the servers cannot be reached. */
    ExchangeExplorer(double reserve, bool hasUnreachableServers)
        : m_engine(m_clock, m_context.get_executor(), m_protocol, settingsWith(reserve))
        , m_servers(m_context)
    {
        TrafficConfigurationBuilder builder;
        builder.setVersion(1).addService({ "pool" });
        for (const auto& row : s_kinds)
            builder.addRoute(routeOf(row));
        m_engine.setConfiguration(std::make_shared<const TrafficConfiguration>(value(builder.build())));
        for (int i = 0; i < 4; ++i)
            add("server" + std::to_string(i), m_servers.open());
        for (int i = 0; i < 2 && hasUnreachableServers; ++i)
            add("dead" + std::to_string(i), m_servers.openUnreachable());
    }

    size_t run()
    {
        for (const auto& row : s_kinds) {
            for (const auto& script : allScripts())
                m_cases.emplace_back(&row, script);
        }
        constexpr int concurrency = 48;
        for (int i = 0; i < concurrency; ++i) {
            ++m_working;
            asio::co_spawn(m_context, work(), [this](const std::exception_ptr& failure) {
                if (failure)
                    std::rethrow_exception(failure);
                if (--m_working == 0)
                    m_context.stop();
            });
        }
        m_context.run();
        return m_done;
    }

private:
    static TrafficSettings settingsWith(double reserve)
    {
        TrafficSettings settings;
        settings.retryBudget = { 0, reserve, 10s };
        return settings;
    }

    static Route routeOf(const KindRow& row)
    {
        Route route;
        route.name = row.name;
        route.host = "h";
        route.pathPrefix = "/" + row.name + "/";
        route.kind = row.kind;
        route.timeout = 20s;
        route.latencyObjective = 20s;
        route.maxAttempts = row.maxAttempts;
        route.isResumable = row.isResumable;
        route.services.push_back({ "pool", 1 });
        return route;
    }

    void add(const std::string& id, const asio::ip::tcp::endpoint& address)
    {
        ServerDescription description;
        description.id = id;
        description.service = "pool";
        description.address = address;
        m_engine.servers().apply(description);
    }

    asio::awaitable<void> work()
    {
        while (m_next < m_cases.size()) {
            const auto index = m_next++;
            co_await explore(*m_cases[index].first, m_cases[index].second, std::to_string(index));
        }
    }

    asio::awaitable<void> explore(const KindRow& row, std::string script, std::string id)
    {
        HttpRequest request(boost::beast::http::verb::get, "/" + row.name + "/" + script, 11);
        request.set("Host", "h");
        request.set("Id", id);
        // A silent server holds its request until the timeout, so scripts with S get a short one.
        request.set("Time-Left", script.find('S') == std::string::npos ? "15000" : "120");
        RecordingSink sink;
        const auto exchange = std::make_shared<Exchange>(m_engine, sink, std::move(request), m_clock.now());
        co_await exchange->run();
        check(row, script, sink, m_servers.seen(id));
        ++m_done;
    }

    static void check(const KindRow& row, const std::string& script, const RecordingSink& sink, const ObservedRequest& seen)
    {
        INFO(row.name << " " << script << ": arrivals " << seen.arrivals << ", runs " << seen.runs << ", status " << sink.status << ", body \"" << sink.body << "\"");
        const bool isStream = row.kind == RequestKind::Stream;
        const bool mayRunAgain = row.kind == RequestKind::Idempotent || row.isResumable;

        // Exactly one outcome: a generated error, a complete response, or one that is visibly truncated.
        CHECK(sink.errors.size() + static_cast<size_t>(sink.ends) + static_cast<size_t>(sink.aborts) == 1);
        CHECK(sink.lateBegins == 0);
        CHECK(sink.lateErrors == 0);

        // A caller that has got no byte of a response gets an error, not only a closed connection.
        CHECK((sink.aborts == 0 || !sink.body.empty()));

        // A valid response to the first send reaches the caller, unless a short timeout may expire first.
        if (script.front() == 'O' && script.find('S') == std::string::npos)
            CHECK((sink.ends == 1 && sink.status == 200 && seen.runs == 1));

        // Runs at most once where required, on no more servers than the route allows. A misdirected send does not
        // count,
        // because it did not reach the intended server.
        const auto misdirected = std::count(script.begin(), script.begin() + std::min<std::ptrdiff_t>(seen.arrivals, 3), 'M');
        CHECK(seen.arrivals - misdirected <= row.maxAttempts);
        if (!mayRunAgain)
            CHECK(seen.runs <= 1);

        // The error states "not run" only if the request did not run.
        if (!sink.errors.empty() && !sink.errors.front().mayHaveRun())
            CHECK(seen.runs == 0);

        // A response that looks complete belongs to this request and is complete.
        if (sink.ends == 1 && sink.status == 200)
            CHECK(sink.body == (isStream ? fullStream : fullResponse));
        if (sink.ends == 1 && sink.status != 200)
            CHECK(sink.body == "failed");
        if (sink.aborts == 1)
            CHECK(fullStream.starts_with(sink.body));
    }

    asio::io_context m_context;
    SystemClock m_clock;
    ScriptedProtocol m_protocol;
    TrafficEngine m_engine;
    ScriptedServers m_servers;
    std::vector<std::pair<const KindRow*, std::string>> m_cases;
    size_t m_next = 0;
    size_t m_done = 0;
    int m_working = 0;
};

}

TEST_CASE("a request runs no more often than allowed and gets exactly one correct outcome, whatever its three servers do")
{
    initialiseLog(Severity::Error, "tests");
    CHECK(ExchangeExplorer(1e9, false).run() == s_kinds.size() * 729);
}

TEST_CASE("a request runs no more often than allowed and gets exactly one correct outcome while two servers cannot be reached")
{
    initialiseLog(Severity::Error, "tests");
    CHECK(ExchangeExplorer(1e9, true).run() == s_kinds.size() * 729);
}

TEST_CASE("a request runs no more often than allowed and gets exactly one correct outcome when the retry budget is empty")
{
    initialiseLog(Severity::Error, "tests");
    CHECK(ExchangeExplorer(0, true).run() == s_kinds.size() * 729);
}
