#include "CallerSession.h"

#include "../net/SocketOptions.h"

#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>

namespace borageslip {

namespace asio = boost::asio;

namespace {

    constexpr size_t maxInbox = 64 * 1024; ///< Bytes that a caller may send ahead.

    // Callers reuse a connection for up to four fifths of the announced idle time.
    constexpr Duration idleMargin = std::chrono::seconds(1);

    std::string chunkHead(size_t bytes)
    {
        std::array<char, 24> text {};
        const int length = std::snprintf(text.data(), text.size(), "%zx\r\n", bytes);
        return { text.data(), static_cast<size_t>(length) };
    }

}

CallerSession::CallerSession(TrafficEngine& engine, asio::ip::tcp::socket socket)
    : m_engine(engine)
    , m_socket(std::move(socket))
    , m_received(engine.executor())
    , m_consumed(engine.executor())
{
    configureSocket(m_socket, PeerKind::Caller);
}

CallerSession::~CallerSession() = default;

void CallerSession::start()
{
    asio::co_spawn(
        m_engine.executor(), [self = shared_from_this()] { return self->serve(); }, asio::detached);
    asio::co_spawn(
        m_engine.executor(), [self = shared_from_this()] { return self->readBytes(); }, asio::detached);
}

void CallerSession::beginDrain()
{
    m_isDraining = true;
    m_received.notify();
}

void CallerSession::callerGone()
{
    m_isGone = true;
    if (m_exchange)
        m_exchange->callerLeft();
    m_received.notify();
}

asio::awaitable<void> CallerSession::readBytes()
{
    while (!m_isGone) {
        boost::system::error_code failure;
        co_await m_socket.async_wait(asio::socket_base::wait_read, asio::redirect_error(asio::use_awaitable, failure));
        if (failure || !m_socket.is_open())
            break;
        const auto scratch = m_engine.scratch();
        const auto count = m_socket.read_some(asio::buffer(scratch.data(), scratch.size()), failure);
        if (failure == asio::error::would_block)
            continue;
        if (failure)
            break;
        m_inbox.append(scratch.data(), count);
        m_received.notify();
        while (m_inbox.size() > maxInbox && !m_isGone)
            co_await m_consumed.wait();
    }
    callerGone();
}

asio::awaitable<void> CallerSession::serve()
{
    bool isKept = !m_isGone;
    while (isKept)
        isKept = co_await serveRequest();
    m_isGone = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_consumed.notify();
}

asio::awaitable<bool> CallerSession::serveRequest()
{
    const auto idleLimit = m_engine.callerLimits().idleTimeout;
    while (m_inbox.empty()) {
        if (m_isGone || (m_isDraining && m_hasServed))
            co_return false;
        const bool hasReceived = co_await m_received.waitFor(idleLimit + idleMargin);
        if (!hasReceived)
            co_return false;
    }
    const auto arrivedAt = m_engine.clock().now();
    const auto limits = m_engine.callerLimits();
    RequestReader reader(limits.maxHeaderBytes, limits.maxBodyBytes);
    m_hasBegun = false;
    m_keepsConnection = true;
    m_version = 11;
    const bool hasRequest = co_await receiveRequest(reader, arrivedAt);
    if (!hasRequest)
        co_return false;
    m_keepsConnection = reader.request().keep_alive();
    m_version = reader.request().version();
    m_exchange = std::make_shared<Exchange>(m_engine, *this, reader.take(), arrivedAt);
    co_await m_exchange->run();
    m_exchange.reset();
    m_hasServed = true;
    co_return !m_isGone && !endsAfterAnswer();
}

asio::awaitable<bool> CallerSession::receiveRequest(RequestReader& reader, TimePoint arrivedAt)
{
    const auto limits = m_engine.callerLimits();
    bool hasSentContinue = false;
    while (true) {
        const auto fed = reader.feed(m_inbox);
        m_consumed.notify();
        if (!isOk(fed)) {
            m_keepsConnection = false;
            co_await refuse(error(fed));
            co_return false;
        }
        if (reader.isDone())
            co_return true;
        if (m_isGone)
            co_return false;
        if (reader.hasHead() && reader.expectsContinue() && !hasSentContinue) {
            hasSentContinue = true;
            m_outbox = "HTTP/1.1 100 Continue\r\n\r\n";
            const bool isSent = co_await flush();
            if (!isSent)
                co_return false;
        }
        const auto left = reader.hasHead() ? Duration(limits.idleTimeout) : arrivedAt + limits.headerTimeout - m_engine.clock().now();
        const bool hasReceived = co_await m_received.waitFor(std::max(left, Duration::zero()));
        if (!hasReceived) {
            m_keepsConnection = false;
            const Error late { ErrorKind::RequestTimeout, "the request did not arrive in time" };
            co_await refuse(late);
            co_return false;
        }
    }
}

asio::awaitable<bool> CallerSession::flush()
{
    if (m_isGone)
        co_return false;
    boost::system::error_code failure;
    co_await asio::async_write(m_socket, asio::buffer(m_outbox), asio::redirect_error(asio::use_awaitable, failure));
    m_outbox.clear();
    if (failure)
        callerGone();
    co_return !m_isGone;
}

asio::awaitable<bool> CallerSession::begin(const HttpResponseHead& head, std::optional<uint64_t> length)
{
    m_hasBegun = true;
    m_outbox = serializeResponseHead(head);
    if (length) {
        m_framing = Framing::Length;
        const bool hasNoBody = head.result_int() == 204 || head.result_int() == 304;
        if (!hasNoBody)
            m_outbox += "Content-Length: " + std::to_string(*length) + "\r\n";
    } else if (m_version >= 11) {
        m_framing = Framing::Chunked;
        m_outbox += "Transfer-Encoding: chunked\r\n";
    } else {
        m_framing = Framing::UntilClose;
        m_keepsConnection = false;
    }
    if (endsAfterAnswer()) {
        m_keepsConnection = false;
        m_outbox += "Connection: close\r\n";
    }
    m_outbox += "\r\n";
    // The head leaves with the first bytes of the body.
    co_return !m_isGone;
}

asio::awaitable<bool> CallerSession::write(std::string_view bytes)
{
    if (m_framing == Framing::Chunked && !bytes.empty())
        m_outbox.append(chunkHead(bytes.size())).append(bytes).append("\r\n");
    else
        m_outbox.append(bytes);
    co_return co_await flush();
}

asio::awaitable<bool> CallerSession::end()
{
    if (m_framing == Framing::Chunked)
        m_outbox += "0\r\n\r\n";
    if (m_outbox.empty())
        co_return !m_isGone;
    co_return co_await flush();
}

void CallerSession::abort()
{
    m_keepsConnection = false;
    if (m_framing == Framing::UntilClose)
        resetSocket(m_socket);
}

asio::awaitable<bool> CallerSession::refuse(const Error& error)
{
    const auto& traits = errorTraits(error.kind);
    const auto body = problemDetails(error, "");
    HttpResponseHead head;
    head.result(static_cast<unsigned>(traits.httpStatus));
    head.set(boost::beast::http::field::content_type, "application/problem+json");
    if (error.retryAfter) {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(*error.retryAfter).count());
        head.set(boost::beast::http::field::retry_after, text.data());
    }
    co_await begin(head, body.size());
    co_return co_await write(body);
}

}
