#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <list>
#include <thread>

using namespace borageslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr size_t maxSessions = 16;

class PlainProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields&) const override { return {}; }
    void prepareForwarding(HttpFields&, const ForwardingMetadata&) const override { }
    ResponseMetadata responseMetadata(unsigned, const HttpFields&) const override { return {}; }
};

/** A listener without a configuration, which answers all requests with 503, beside callers that block. */
class ListenerScene {
public:
    explicit ListenerScene(const Clock& clock = s_systemClock)
        : m_engine(clock, m_context.get_executor(), m_protocol, {})
        , m_listener(m_engine, maxSessions)
        , m_endpoint(tcp::acceptor(m_context, { asio::ip::address_v4::loopback(), 0 }).local_endpoint())
    {
        REQUIRE(isOk(m_listener.listen(m_endpoint)));
        m_thread = std::thread([this] { m_context.run_for(60s); });
    }

    ~ListenerScene()
    {
        m_context.stop();
        m_thread.join();
    }

    /** Opens a connection and sends the bytes. */
    void connect(const std::string& bytes)
    {
        auto& socket = m_callers.emplace_back(m_callerContext);
        socket.connect(m_endpoint);
        asio::write(socket, asio::buffer(bytes));
    }

    /** Sends bytes without end on a new connection that begins with these. Returns whether the connection was cut off
        before the given number of bytes. */
    bool isCutOff(const std::string& begin, size_t maxBytes)
    {
        tcp::socket socket(m_callerContext);
        socket.connect(m_endpoint);
        const std::string filler(64 * 1024, 'x');
        boost::system::error_code failure;
        asio::write(socket, asio::buffer(begin), failure);
        for (size_t sent = 0; !failure && sent < maxBytes; sent += filler.size())
            asio::write(socket, asio::buffer(filler), failure);
        return static_cast<bool>(failure);
    }

    /** Sends a request on a new connection. Returns the start of the response; empty if the connection is closed or no
        response comes within two seconds. */
    std::string ask()
    {
        tcp::socket socket(m_callerContext);
        socket.connect(m_endpoint);
        const timeval limit { 2, 0 };
        ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
        std::string text(12, '\0');
        const auto count = ::recv(socket.native_handle(), text.data(), text.size(), MSG_WAITALL);
        text.resize(count > 0 ? static_cast<size_t>(count) : 0);
        return text;
    }

private:
    static inline const SystemClock s_systemClock;
    PlainProtocol m_protocol;
    asio::io_context m_context;
    TrafficEngine m_engine;
    CallerListener m_listener;
    tcp::endpoint m_endpoint;
    asio::io_context m_callerContext;
    std::list<tcp::socket> m_callers;
    std::thread m_thread;
};

}

// Guards against idle connections that keep an instance from answering requests on new ones.
TEST_CASE("requests on new connections are answered when idle connections are at the limit of sessions", "[caller]")
{
    ListenerScene scene;
    for (size_t i = 0; i < 2 * maxSessions; ++i)
        scene.connect("");
    for (int i = 0; i < 40; ++i)
        CHECK(scene.ask() == "HTTP/1.1 503");
}

TEST_CASE("requests on new connections are rejected at once when busy connections are at the limit of sessions", "[caller]")
{
    ListenerScene scene;
    for (size_t i = 0; i < maxSessions; ++i)
        scene.connect("GET / HTTP/1.1\r\n");
    for (int i = 0; i < 5; ++i)
        CHECK(scene.ask() == "HTTP/1.1 503");
}

// Guards against a fast caller that sends without end for as long as the bytes of its rejected request are discarded. The clock
// stands still, so that only the bound on the bytes can end that.
TEST_CASE("the bytes of a rejected request that are discarded are bounded", "[caller]")
{
    constexpr size_t maxBytes = 64 * 1024 * 1024;
    const ManualClock clock;
    ListenerScene scene(clock);
    CHECK(scene.isCutOff("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;", maxBytes));
}
