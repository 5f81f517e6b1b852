#include "ResponseSource.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace borageslip {

namespace asio = boost::asio;

namespace {

    constexpr size_t maxDiscardedBytes = 64 * 1024; ///< Opening a new connection is cheaper than draining a longer response.

}

ResponseSource::ResponseSource(ServerConnection& connection, std::span<char> scratch, MemoryBudget& memory, ResponseReader::Body body)
    : m_connection(connection)
    , m_scratch(scratch)
    , m_memory(memory)
    , m_reader(body)
{
}

asio::awaitable<bool> ResponseSource::readMore(size_t retained)
{
    auto& socket = m_connection.socket;
    boost::system::error_code failure;
    co_await socket.async_wait(asio::socket_base::wait_read, asio::redirect_error(asio::use_awaitable, failure));
    if (failure || !socket.is_open())
        co_return false;
    const auto count = socket.read_some(asio::buffer(m_scratch.data(), m_scratch.size()), failure);
    if (failure == asio::error::would_block)
        co_return true;
    if (failure == asio::error::eof)
        co_return isOk(m_reader.handleEof()) && m_reader.isDone();
    if (failure)
        co_return false;
    m_connection.receiveBuffer.append(m_scratch.data(), count);
    if (!isOk(m_reader.feed(m_connection.receiveBuffer)))
        co_return false;
    co_return m_memory.hold(retained + m_connection.receiveBuffer.size() + m_reader.bodyBytes());
}

asio::awaitable<bool> ResponseSource::discardRest()
{
    size_t discarded = 0;
    while (!m_reader.isDone()) {
        discarded += m_reader.takeBody().size();
        if (discarded > maxDiscardedBytes)
            co_return false;
        const bool isOpen = co_await readMore();
        if (!isOpen)
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> ResponseSource::readHead()
{
    if (!isOk(m_reader.feed(m_connection.receiveBuffer)))
        co_return false;
    while (!m_reader.hasHead()) {
        const bool isOpen = co_await readMore();
        if (!isOpen)
            co_return false;
    }
    co_return true;
}

}
