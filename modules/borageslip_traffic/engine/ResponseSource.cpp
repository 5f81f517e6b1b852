#include "ResponseSource.h"

#include "../net/SendProgress.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace borageslip {

namespace asio = boost::asio;

namespace {

    constexpr size_t maxDiscardedBytes = 64 * 1024; ///< Opening a new connection is cheaper than draining a longer response.
    constexpr Duration receiptCheckInterval = std::chrono::milliseconds(10); ///< The kernel does not announce that bytes were received.

}

ResponseSource::ResponseSource(ServerConnection& connection, std::shared_ptr<const RequestWrite> requestWrite, std::span<char> scratch, MemoryBudget& memory, ResponseReader::Body body)
    : m_connection(connection)
    , m_requestWrite(std::move(requestWrite))
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
        co_return isCompleteAtEnd();
    if (failure)
        co_return false;
    m_connection.receiveBuffer.append(m_scratch.data(), count);
    if (!feed())
        co_return false;
    co_return m_memory.hold(retained + m_connection.receiveBuffer.size() + m_reader.bodyBytes());
}

bool ResponseSource::feed()
{
    m_isInvalid = !isOk(m_reader.feed(m_connection.receiveBuffer));
    return !m_isInvalid;
}

bool ResponseSource::isCompleteAtEnd()
{
    // The write of a request takes the error of a reset, after which a read sees a clean end.
    const bool isReceived = m_requestWrite->isWritten && sendProgress(m_connection.socket) == SendProgress::Acknowledged;
    if (m_reader.hasHead() && m_reader.framing() == BodyFraming::UntilClose && !isReceived)
        return false;
    return isOk(m_reader.handleEof()) && m_reader.isDone();
}

asio::awaitable<bool> ResponseSource::awaitRequestReceived()
{
    asio::steady_timer timer(m_connection.socket.get_executor());
    while (!m_requestWrite->isEnded || m_requestWrite->isWritten) {
        const auto progress = sendProgress(m_connection.socket);
        if (progress == SendProgress::ConnectionLost)
            break;
        if (m_requestWrite->isWritten && progress == SendProgress::Acknowledged)
            co_return true;
        timer.expires_after(receiptCheckInterval);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return false;
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
    if (!feed())
        co_return false;
    while (!m_reader.hasHead()) {
        const bool isOpen = co_await readMore();
        if (!isOpen)
            co_return false;
    }
    co_return true;
}

}
