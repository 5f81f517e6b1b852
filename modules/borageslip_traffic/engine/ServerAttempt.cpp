#include "ServerAttempt.h"

#include "ResponseReceiver.h"

#include <borageslip_core/logging/Log.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace borageslip::detail {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr Duration connectLimit = milliseconds(250);
    constexpr size_t maxInlineRequestBytes = 4 * 1024; ///< A longer request is written concurrently with reading the response.

}

ServerAttempt::ServerAttempt(ExchangeContext& context)
    : m_context(context)
{
}

asio::awaitable<AttemptResult> ServerAttempt::run(ReservationPtr reservation)
{
    const auto server = reservation->server();
    if (server->isEvacuated())
        co_return abandon(*server);
    m_context.record.recordSend(*server, m_context.engine, { m_context.choiceReason, m_context.admitted.affinity, reservation->pendingTokens() });
    m_context.triedServers.push_back(server->hash());
    m_context.activeServer = server;
    m_context.setPhase(RequestPhase::Connecting);
    AttemptState state { m_context, std::move(reservation), server, server->pool().takeIdle() };
    if (!state.connection) {
        auto connected = co_await ConnectionPool::connect(m_context.engine.executor(), server->pool().endpoint(), connectLimit);
        if (!isOk(connected) && server->isEvacuated())
            co_return abandon(*server);
        if (!isOk(connected)) {
            server->recordUnreachable();
            m_context.engine.coldServers().recordUnreachable(*server);
            m_context.lastError = error(connected);
            logEvent(Severity::Warning, "server-unreachable", { { "request", m_context.metadata.requestId }, { "server", server->description().id }, { "detail", m_context.lastError.detail } });
            co_return AttemptResult::NotSent;
        }
        state.connection = value(std::move(connected));
    }
    if (m_context.isStopped())
        co_return AttemptResult::Aborted;
    if (server->isEvacuated())
        co_return abandon(*server);
    if (!server->acceptsRequests()) {
        m_context.lastError = { ErrorKind::EngineUnreachable, "the backend server was taken out of service while the connection was being opened" };
        co_return AttemptResult::NotSent;
    }
    // The request may have waited since the last check.
    if (m_context.isQuarantined() || m_context.isTooLateToStart())
        co_return AttemptResult::NotSent;
    if (!m_context.engine.coldServers().maySend(*server, state.reservation->coldPermit()))
        co_return withhold(state);
    m_context.activeConnection = state.connection;
    const auto result = co_await send(state);
    m_context.activeConnection = nullptr;
    if (m_context.isStopped() && result != AttemptResult::Delivered) {
        m_context.mayHaveRun |= state.attempt.mayHaveRun();
        co_return AttemptResult::Aborted;
    }
    if (result == AttemptResult::Lost)
        co_await checkForCrash(state);
    co_return result;
}

AttemptResult ServerAttempt::abandon(const BackendServer& server)
{
    m_context.recordAbandoned(server);
    return AttemptResult::Abandoned;
}

AttemptResult ServerAttempt::withhold(AttemptState& state)
{
    state.server->pool().returnConnection(state.connection);
    // The server may be chosen again as soon as there is a permit for it.
    m_context.triedServers.pop_back();
    if (m_context.sendCount > 0) {
        m_context.hasReservedRetry = true;
        --m_context.engine.counts().retries;
    } else {
        m_context.lastError = { ErrorKind::Overloaded, "the backend server is cold and gets no further request at present" };
    }
    return AttemptResult::NotPermitted;
}

std::string ServerAttempt::forwardedHead(const BackendServer& server) const
{
    HttpRequest outgoing;
    outgoing.method_string(m_context.request.method_string());
    outgoing.target(m_context.request.target());
    for (const auto& field : m_context.request)
        outgoing.insert(field.name_string(), field.value());
    removeHopByHopFields(outgoing);
    ForwardingMetadata metadata { m_context.timeLeft(), server.description().id, m_context.admitted.account };
    if (m_context.events.lastEventId())
        metadata.resumeAfter = *m_context.events.lastEventId();
    m_context.engine.protocol().prepareForwarding(outgoing, metadata);
    return serializeRequestHead(outgoing, m_context.request.body().size());
}

asio::awaitable<void> ServerAttempt::writeRequest(std::shared_ptr<ExchangeContext> context, ServerConnectionPtr connection, BackendServerPtr server, std::string head, std::shared_ptr<RequestWrite> write)
{
    // A coroutine that was spawned begins later than the checks before it.
    if (server->isEvacuated()) {
        write->isWithheld = true;
        write->isEnded = true;
        connection->close();
        co_return;
    }
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(head), asio::buffer(context->request.body()) };
    boost::system::error_code failure;
    co_await asio::async_write(connection->socket, buffers, asio::redirect_error(asio::use_awaitable, failure));
    write->isEnded = true;
    write->isWritten = !failure;
}

asio::awaitable<AttemptResult> ServerAttempt::send(AttemptState& state)
{
    state.attempt.fire(AttemptEvent::Send);
    m_context.setPhase(RequestPhase::AwaitingHead);
    state.sentAt = m_context.engine.clock().now();
    state.earlierEvents = m_context.events.eventCount();
    m_context.engine.servers().recordSend(*state.server);
    auto head = forwardedHead(*state.server);
    // A backend server may respond before it has read the whole body of a long request.
    if (head.size() + m_context.request.body().size() > maxInlineRequestBytes)
        asio::co_spawn(m_context.engine.executor(), writeRequest(m_context.shared_from_this(), state.connection, state.server, std::move(head), state.write), asio::detached);
    else
        co_await writeRequest(m_context.shared_from_this(), state.connection, state.server, std::move(head), state.write);
    ResponseReceiver receiver(m_context, state);
    co_return co_await receiver.receive();
}

asio::awaitable<void> ServerAttempt::checkForCrash(const AttemptState& state)
{
    if (!state.isConnectionLost)
        co_return;
    auto suspects = m_context.interruptedFingerprints();
    // What clears the parts of a prompt is what makes its request no suspect, so that no crash goes unseen.
    if (!state.hasProgressed) {
        auto own = suspectFingerprints(m_context.metadata, m_context.request);
        std::move(own.begin(), own.end(), std::back_inserter(suspects));
    }
    const bool mayBeSentAgain = m_context.mayBeSentAgain();
    auto check = m_context.engine.crashDetector().hasCrashed(state.server, std::move(suspects));
    if (state.hasProgressed || !mayBeSentAgain) {
        // Nothing depends on the result.
        asio::co_spawn(m_context.engine.executor(), std::move(check), asio::detached);
        co_return;
    }
    const bool hasCrashed = co_await std::move(check);
    m_context.mayHaveCrashedServer = hasCrashed && state.isResponseBegun && !m_context.metadata.promptParts.empty();
}

}
