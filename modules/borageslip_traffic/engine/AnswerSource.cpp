#include "AnswerSource.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace borageslip {

namespace asio = boost::asio;

namespace {

    constexpr size_t maxDiscarded = 64 * 1024; ///< Bytes; a new connection is cheaper than more of an answer that nobody wants.

}

AnswerSource::AnswerSource(ServerConnection& connection, std::span<char> scratch, AnswerReader::Body body)
    : m_connection(connection)
    , m_scratch(scratch)
    , m_reader(body)
{
}

asio::awaitable<bool> AnswerSource::readMore()
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
        co_return isOk(m_reader.endOfInput()) && m_reader.isDone();
    if (failure)
        co_return false;
    m_connection.unread.append(m_scratch.data(), count);
    co_return isOk(m_reader.feed(m_connection.unread));
}

asio::awaitable<bool> AnswerSource::discardRest()
{
    size_t discarded = 0;
    while (!m_reader.isDone()) {
        discarded += m_reader.takeBody().size();
        if (discarded > maxDiscarded)
            co_return false;
        const bool isOpen = co_await readMore();
        if (!isOpen)
            co_return false;
    }
    co_return true;
}

asio::awaitable<bool> AnswerSource::readHead()
{
    if (!isOk(m_reader.feed(m_connection.unread)))
        co_return false;
    while (!m_reader.hasHead()) {
        const bool isOpen = co_await readMore();
        if (!isOpen)
            co_return false;
    }
    co_return true;
}

}
