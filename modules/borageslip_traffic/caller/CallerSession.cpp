#include "CallerSession.h"

#include "../net/SocketOptions.h"
#include "../net/SpawnTask.h"

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

    constexpr size_t maxReceiveBufferBytes = 64 * 1024; ///< Reading pauses while more than this is unparsed.

    // Added to the idle timeout. Callers reuse a connection for up to four fifths of the announced timeout, so that it
    // is still open then.
    constexpr Duration idleMargin = std::chrono::seconds(1);

    constexpr Duration lingerTime = std::chrono::milliseconds(200); ///< For which bytes of a rejected request are discarded.
    constexpr uint64_t lingerBodies = 4; ///< The longest permitted body, so many times over, is discarded at most.

    std::string chunkHeader(size_t bytes)
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
    , m_memory(engine.memory())
{
    configureSocket(m_socket, PeerKind::Caller);
}

CallerSession::~CallerSession() = default;

void CallerSession::start()
{
    asio::co_spawn(
        m_engine.executor(), [self = shared_from_this()] { return self->serve(); }, asio::detached);
    asio::co_spawn(
        m_engine.executor(), [self = shared_from_this()] { return self->readLoop(); }, asio::detached);
}

void CallerSession::beginDrain()
{
    m_isDraining = true;
    m_received.notify();
}

void CallerSession::closeIfWaiting()
{
    if (!m_waitingSince)
        return;
    m_waitingSince.reset();
    m_isClosing = true;
    m_received.notify();
}

std::optional<OpenRequest> CallerSession::openRequest() const
{
    if (m_exchange)
        return m_exchange->openRequest();
    if (!m_receivingSince)
        return std::nullopt;
    return OpenRequest { "", RequestPhase::Receiving, *m_receivingSince, *m_receivingSince, "" };
}

void CallerSession::closeIfUnused()
{
    boost::system::error_code failure;
    const bool hasBytes = !m_receiveBuffer.empty() || m_socket.available(failure) > 0;
    if (!hasBytes)
        closeIfWaiting();
}

void CallerSession::endForStop(StopScope scope)
{
    if (m_exchange)
        return m_exchange->endForStop(scope);
    if (scope != StopScope::All)
        return;
    if (!m_receivingSince)
        return closeIfUnused();
    m_isClosing = true;
    m_received.notify();
}

void CallerSession::abortUnfinished()
{
    // Other framings show by themselves that the rest is missing.
    if (m_exchange && m_hasBegun && m_framing == Framing::UntilClose)
        resetSocket(m_socket);
}

void CallerSession::handleDisconnect()
{
    m_isDisconnected = true;
    if (m_exchange)
        m_exchange->onCallerDisconnected();
    m_received.notify();
}

asio::awaitable<void> CallerSession::readLoop()
{
    while (!m_isDisconnected) {
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
        m_receiveBuffer.append(scratch.data(), count);
        m_received.notify();
        while ((m_receiveBuffer.size() > maxReceiveBufferBytes || !holdMemory()) && !m_receiveBuffer.empty() && !m_isDisconnected)
            co_await m_consumed.wait();
    }
    handleDisconnect();
}

asio::awaitable<void> CallerSession::serve()
{
    try {
        bool isKept = !m_isDisconnected;
        while (isKept)
            isKept = co_await serveRequest();
    } catch (...) {
        // Only this connection ends. The caller gets no answer, since its request may have run.
        logUnexpected("serve a caller", std::current_exception());
        m_exchange.reset();
    }
    m_isDisconnected = true;
    m_waitingSince.reset();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_consumed.notify();
}

asio::awaitable<bool> CallerSession::serveRequest()
{
    const auto idleTimeout = m_rejectsRequests ? m_engine.callerLimits().headerTimeout : m_engine.callerLimits().idleTimeout;
    m_waitingSince = m_engine.clock().now();
    while (m_receiveBuffer.empty()) {
        if (m_isDisconnected || m_isClosing || (m_isDraining && m_hasServedRequest))
            co_return false;
        const bool hasReceived = co_await m_received.waitFor(idleTimeout + idleMargin);
        if (!hasReceived)
            co_return false;
    }
    m_waitingSince.reset();
    const auto arrivedAt = m_engine.clock().now();
    m_receivingSince = arrivedAt;
    const auto limits = m_engine.callerLimits();
    RequestReader reader(limits.maxHeaderBytes, limits.maxBodyBytes);
    m_isResponsePrepared = false;
    m_hasBegun = false;
    m_keepsConnection = true;
    m_httpVersion = 11;
    m_isHeadRequest = false;
    const bool hasRequest = co_await receiveRequest(reader, arrivedAt);
    m_receivingSince.reset();
    if (!hasRequest)
        co_return false;
    m_keepsConnection = reader.request().keep_alive();
    m_httpVersion = reader.request().version();
    m_isHeadRequest = reader.request().method() == boost::beast::http::verb::head;
    if (m_rejectsRequests) {
        m_keepsConnection = false;
        co_await sendError(overloadedError("the instance has too many connections"));
        co_return false;
    }
    m_exchange = std::make_shared<Exchange>(m_engine, *this, reader.take(), arrivedAt);
    co_await m_exchange->run();
    m_exchange.reset();
    m_requestBytes = 0;
    holdMemory();
    m_hasServedRequest = true;
    co_return !m_isDisconnected && !closesAfterResponse();
}

asio::awaitable<bool> CallerSession::receiveRequest(RequestReader& reader, TimePoint arrivedAt)
{
    const auto limits = m_engine.callerLimits();
    bool hasSentContinue = false;
    while (true) {
        const auto fed = reader.feed(m_receiveBuffer);
        m_requestBytes = reader.bodyBytes();
        const bool isMemoryLeft = holdMemory();
        m_consumed.notify();
        if (!isOk(fed)) {
            co_await rejectIncomplete(error(fed));
            co_return false;
        }
        if (!isMemoryLeft) {
            co_await rejectIncomplete(overloadedError("the requests of all callers hold too much memory"));
            co_return false;
        }
        if (reader.isDone())
            co_return true;
        if (m_isDisconnected)
            co_return false;
        const bool isEndedByStop = m_isDraining && m_isClosing;
        if (isEndedByStop) {
            Error draining { ErrorKind::Draining, "this instance is shutting down" };
            draining.retryAfter = m_engine.retryAfterStop(limits.headerTimeout);
            co_await rejectIncomplete(draining);
            co_return false;
        }
        if (reader.hasHead() && reader.expectsContinue() && !hasSentContinue) {
            hasSentContinue = true;
            m_sendBuffer = "HTTP/1.1 100 Continue\r\n\r\n";
            const bool isSent = co_await flush();
            if (!isSent)
                co_return false;
        }
        const auto left = reader.hasHead() ? Duration(limits.idleTimeout) : arrivedAt + limits.headerTimeout - m_engine.clock().now();
        const bool hasReceived = co_await m_received.waitFor(std::max(left, Duration::zero()));
        if (!hasReceived) {
            const Error late { ErrorKind::RequestTimeout, "the request was not received within the timeout" };
            co_await rejectIncomplete(late);
            co_return false;
        }
    }
}

asio::awaitable<void> CallerSession::rejectIncomplete(const Error& error)
{
    m_keepsConnection = false;
    co_await sendError(error);
    // Closing a connection with unread bytes resets it, and the caller may lose the response.
    boost::system::error_code ignored;
    m_socket.shutdown(asio::socket_base::shutdown_send, ignored);
    const auto until = m_engine.clock().now() + lingerTime;
    const uint64_t maxDiscardedBytes = lingerBodies * m_engine.callerLimits().maxBodyBytes;
    uint64_t discardedBytes = 0;
    while (!m_isDisconnected && discardedBytes <= maxDiscardedBytes) {
        discardedBytes += m_receiveBuffer.size();
        m_receiveBuffer.clear();
        holdMemory();
        m_consumed.notify();
        const auto left = until - m_engine.clock().now();
        if (left <= Duration::zero())
            break;
        co_await m_received.waitFor(left);
    }
}

Error CallerSession::overloadedError(std::string_view detail)
{
    Error overloaded { ErrorKind::Overloaded, std::string(detail) };
    overloaded.retryAfter = m_engine.retryAfter(m_engine.callerLimits().headerTimeout, {});
    return overloaded;
}

asio::awaitable<bool> CallerSession::flush()
{
    if (m_isDisconnected)
        co_return false;
    m_hasBegun = m_isResponsePrepared;
    boost::system::error_code failure;
    co_await asio::async_write(m_socket, asio::buffer(m_sendBuffer), asio::redirect_error(asio::use_awaitable, failure));
    m_sendBuffer.clear();
    if (failure)
        handleDisconnect();
    co_return !m_isDisconnected;
}

asio::awaitable<bool> CallerSession::begin(const HttpResponseHead& head, std::optional<uint64_t> length)
{
    m_isResponsePrepared = true;
    m_sendBuffer = serializeResponseHead(head);
    const bool isBodyless = head.result_int() == 204 || head.result_int() == 304;
    m_hasNoBody = m_isHeadRequest || isBodyless;
    if (length || isBodyless) {
        m_framing = Framing::Length;
        if (!isBodyless)
            m_sendBuffer += "Content-Length: " + std::to_string(*length) + "\r\n";
    } else if (m_httpVersion >= 11) {
        m_framing = Framing::Chunked;
        m_sendBuffer += "Transfer-Encoding: chunked\r\n";
    } else {
        m_framing = Framing::UntilClose;
        m_keepsConnection = false;
    }
    if (closesAfterResponse()) {
        m_keepsConnection = false;
        m_sendBuffer += "Connection: close\r\n";
    }
    m_sendBuffer += "\r\n";
    // The header is sent together with the first bytes of the body, so that until then an error can still take its place.
    co_return !m_isDisconnected;
}

asio::awaitable<bool> CallerSession::write(std::string_view bytes)
{
    if (m_hasNoBody)
        co_return co_await flush();
    if (m_framing == Framing::Chunked && !bytes.empty())
        m_sendBuffer.append(chunkHeader(bytes.size())).append(bytes).append("\r\n");
    else
        m_sendBuffer.append(bytes);
    co_return co_await flush();
}

asio::awaitable<bool> CallerSession::end()
{
    if (m_framing == Framing::Chunked && !m_hasNoBody)
        m_sendBuffer += "0\r\n\r\n";
    if (m_sendBuffer.empty())
        co_return !m_isDisconnected;
    co_return co_await flush();
}

void CallerSession::abort()
{
    m_keepsConnection = false;
    if (m_framing == Framing::UntilClose)
        resetSocket(m_socket);
}

asio::awaitable<bool> CallerSession::sendError(const Error& error)
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
