#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace borageslip;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

enum class Ending {
    Close,
    Reset,
};

/** A connection over loopback to a server that takes few bytes of a request. */
class Connection {
public:
    Connection()
        : m_server(m_context)
        , m_connection(m_context.get_executor())
    {
        tcp::acceptor acceptor(m_context);
        acceptor.open(tcp::v4());
        acceptor.set_option(asio::socket_base::receive_buffer_size(smallBuffer));
        acceptor.bind({ asio::ip::address_v4::loopback(), 0 });
        acceptor.listen();
        m_connection.socket.connect(acceptor.local_endpoint());
        m_connection.socket.non_blocking(true);
        acceptor.accept(m_server);
    }

    tcp::socket& socket() { return m_connection.socket; }

    /** Writes as much as the kernel takes. */
    void fillSendBuffer()
    {
        const std::string block(65536, 'u');
        boost::system::error_code failure;
        while (!failure)
            socket().write_some(asio::buffer(block), failure);
    }

    void respond(const std::string& text) { asio::write(m_server, asio::buffer(text)); }

    void end(Ending ending)
    {
        if (ending == Ending::Reset)
            m_server.set_option(asio::socket_base::linger(true, 0));
        if (ending == Ending::Close)
            m_server.shutdown(asio::socket_base::shutdown_send);
        else
            m_server.close();
    }

    /** Whether the rest of the response is read to its end. */
    bool readsToEnd(const RequestWrite& write)
    {
        bool isComplete = false;
        asio::co_spawn(m_context, read(std::make_shared<RequestWrite>(write), isComplete), asio::detached);
        m_context.run();
        return isComplete;
    }

private:
    static constexpr int smallBuffer = 8 * 1024;

    asio::awaitable<void> read(std::shared_ptr<const RequestWrite> write, bool& isComplete)
    {
        ResponseSource source(m_connection, std::move(write), m_scratch, m_memory, ResponseReader::Body::Expected);
        bool isOpen = co_await source.readHead();
        while (isOpen && !source.reader().isDone())
            isOpen = co_await source.readMore();
        isComplete = isOpen;
    }

    asio::io_context m_context;
    tcp::socket m_server;
    ServerConnection m_connection;
    std::array<char, 4096> m_scratch {};
    MemoryBudget m_memory { 1 << 20 };
};

constexpr RequestWrite written { true, true };
constexpr RequestWrite unfinished { false, false };
constexpr RequestWrite failed { true, false };
constexpr const char* unframed = "HTTP/1.1 200 OK\r\n\r\nabc";
constexpr const char* framed = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";

}

// Guards against a cut-off response that looks complete: without a length, only the end of the connection ends it.
TEST_CASE("a response without a length is complete only after a clean end and a whole request", "[response]")
{
    const auto isComplete = [](const RequestWrite& write, Ending ending) {
        Connection connection;
        connection.respond(unframed);
        connection.end(ending);
        return connection.readsToEnd(write);
    };
    CHECK(isComplete(written, Ending::Close));
    CHECK_FALSE(isComplete(unfinished, Ending::Close));
    CHECK_FALSE(isComplete(failed, Ending::Close));
    CHECK_FALSE(isComplete(written, Ending::Reset));
    CHECK_FALSE(isComplete(unfinished, Ending::Reset));
}

// Guards against a reset whose error the write of the request takes, so that the read sees a clean end.
TEST_CASE("a reset that the write of the request has noticed does not complete a response", "[response]")
{
    Connection connection;
    connection.fillSendBuffer();
    connection.respond(unframed);
    connection.end(Ending::Reset);
    boost::system::error_code failure;
    connection.socket().write_some(asio::buffer("u", 1), failure);
    REQUIRE(failure == asio::error::connection_reset);
    CHECK_FALSE(connection.readsToEnd(failed));
}

// Guards against a clean end that is trusted while a part of the request still waits in the kernel.
TEST_CASE("a response without a length is incomplete while its server has not received the request", "[response]")
{
    Connection connection;
    connection.fillSendBuffer();
    CHECK(sendProgress(connection.socket()) == SendProgress::Outstanding);
    connection.respond(unframed);
    connection.end(Ending::Close);
    CHECK_FALSE(connection.readsToEnd(written));
}

// Guards against a response that is complete by its length and is taken for lost.
TEST_CASE("a response with a length is complete whatever became of the request", "[response]")
{
    Connection connection;
    connection.fillSendBuffer();
    connection.respond(framed);
    connection.end(Ending::Reset);
    CHECK(connection.readsToEnd(failed));
}

TEST_CASE("the progress of sending shows a reset without taking its error", "[response]")
{
    Connection connection;
    CHECK(sendProgress(connection.socket()) == SendProgress::Acknowledged);
    connection.end(Ending::Reset);
    CHECK(sendProgress(connection.socket()) == SendProgress::ConnectionLost);
    std::array<char, 1> byte {};
    boost::system::error_code failure;
    connection.socket().read_some(asio::buffer(byte), failure);
    CHECK(failure == asio::error::connection_reset);
}
