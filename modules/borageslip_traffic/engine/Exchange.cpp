#include "Exchange.h"

#include "RequestAdmission.h"
#include "ReservationWait.h"
#include "ServerAttempt.h"

#include <borageslip_core/errors/Invariant.h>

#include <algorithm>
#include <utility>

namespace borageslip {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr int maxWithheldSends = 8; ///< Sends to servers that have become cold since they were chosen, after which a request fails.
    constexpr int maxUnreachableServers = 3; ///< Connection failures to backend servers after which a request fails.

}

Exchange::Exchange(TrafficEngine& engine, ResponseSink& sink, HttpRequest request, TimePoint arrivedAt)
    : m_context(std::make_shared<detail::ExchangeContext>(engine, sink, std::move(request), arrivedAt))
{
}

OpenRequest Exchange::openRequest() const
{
    const auto phase = m_context->sink.hasBegun() ? RequestPhase::Responding : m_context->phase;
    return { m_context->metadata.requestId, phase, m_context->arrivedAt, m_context->phaseBegunAt, m_context->activeServer ? m_context->activeServer->description().id : std::string() };
}

asio::awaitable<void> Exchange::run()
{
    ++m_context->engine.counts().requests;
    detail::RequestAdmission admission(*m_context);
    auto admitted = co_await admission.admit();
    if (!isOk(admitted)) {
        co_await finish(error(admitted));
        co_return;
    }
    m_context->admitted = value(std::move(admitted));
    m_context->deadline = m_context->arrivedAt + std::min(m_context->route().timeout, m_context->metadata.timeLeft.value_or(m_context->route().timeout));
    m_context->startDeadline();
    co_await serve();
    m_context->deadlineTimer.cancel();
    m_context->engine.counts().durations.record(m_context->engine.clock().now() - m_context->arrivedAt);
}

void Exchange::onCallerDisconnected()
{
    if (m_context->isStopped())
        return;
    const bool continuesWithoutCaller = m_context->activeConnection && m_context->admitted.route != nullptr && m_context->route().kind == RequestKind::AtMostOnce;
    if (continuesWithoutCaller)
        return;
    m_context->countOutcome(&TrafficCounts::callersDisconnected);
    m_context->stop(detail::StopReason::CallerDisconnected);
}

void Exchange::endForStop(StopScope scope)
{
    const bool isUnstarted = !m_context->mayHaveRun && !m_context->activeConnection && !m_context->sink.hasBegun();
    if (scope == StopScope::All || (isUnstarted && !m_context->engine.mayStart(m_context->receivedAt, m_context->deadline)))
        m_context->stop(detail::StopReason::InstanceStopped);
}

asio::awaitable<void> Exchange::serve()
{
    m_context->engine.recordArrival(m_context->admitted);
    int unreachable = 0;
    int withheld = 0;
    while (!m_context->isStopped() && m_context->sendCount < m_context->route().maxAttempts && unreachable < maxUnreachableServers && !m_context->isQuarantined() && !m_context->isTooLateToStart()) {
        m_context->setPhase(RequestPhase::Waiting);
        detail::ReservationWait wait(*m_context);
        auto reservation = co_await wait.awaitReservation();
        if (!isOk(reservation)) {
            m_context->lastError = error(reservation);
            break;
        }
        if (m_context->sendCount > 0 && !m_context->hasReservedRetry && !m_context->tryAcquireRetry())
            break;
        if (m_context->sendCount > 0 && !std::exchange(m_context->repeatsAbandoned, false))
            ++m_context->engine.counts().retries;
        m_context->hasReservedRetry = false;
        detail::ServerAttempt attempt(*m_context);
        const auto result = co_await attempt.run(value(std::move(reservation)));
        m_context->activeServer = nullptr;
        if (result == detail::AttemptResult::Delivered) {
            m_context->logOutcome(Severity::Info, "answered", "delivered", "");
            co_return;
        }
        if (result == detail::AttemptResult::Aborted)
            break;
        if (result == detail::AttemptResult::Abandoned) {
            m_context->hasReservedRetry = m_context->repeatsAbandoned = m_context->sendCount > 0;
            continue;
        }
        if (result == detail::AttemptResult::NotPermitted && ++withheld < maxWithheldSends)
            continue;
        if (result == detail::AttemptResult::NotPermitted)
            break;
        if (result == detail::AttemptResult::NotSent) {
            ++unreachable;
            continue;
        }
        ++m_context->sendCount;
        const bool mayRepeat = m_context->route().mayRunAgain() && !m_context->mayHaveCrashedServer && m_context->canStateLastEvent();
        if (result == detail::AttemptResult::Lost && !mayRepeat)
            break;
    }
    if (m_context->lastError.kind == ErrorKind::PromptQuarantined)
        ++m_context->engine.counts().quarantineRejections;
    co_await finish(m_context->lastError);
}

asio::awaitable<void> Exchange::finish(Error failure)
{
    if (m_context->stopReason == detail::StopReason::CallerDisconnected || m_context->sink.isCallerDisconnected()) {
        m_context->countOutcome(&TrafficCounts::callersDisconnected);
        m_context->logOutcome(Severity::Info, "caller-left", "cancelled", m_context->lastError.detail);
        co_return;
    }
    if (m_context->stopReason == detail::StopReason::DeadlinePassed)
        failure = { m_context->mayHaveRun ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineBeforeStart, "the deadline passed" };
    if (m_context->stopReason == detail::StopReason::InstanceStopped)
        failure = { m_context->mayHaveRun ? ErrorKind::ServiceFailed : ErrorKind::Draining, "this instance is shutting down" };
    if (m_context->sink.hasBegun()) {
        m_context->countOutcome(&TrafficCounts::failed);
        m_context->logOutcome(Severity::Warning, "broken-off", errorTraits(failure.kind).name, failure.detail);
        m_context->sink.abort();
        co_return;
    }
    if (m_context->mayHaveRun && !failure.mayHaveRun())
        failure = { ErrorKind::ServiceFailed, failure.detail };
    BORAGESLIP_INVARIANT(!m_context->mayHaveRun || failure.mayHaveRun(), "I3", "a request that may have run was reported as not run");
    m_context->countOutcome(failure.mayHaveRun() ? &TrafficCounts::failed : &TrafficCounts::refused);
    const auto callerWaits = m_context->admitted.route != nullptr ? m_context->timeLeft() : m_context->metadata.timeLeft.value_or(milliseconds(0));
    if (failure.kind == ErrorKind::Draining)
        failure.retryAfter = m_context->engine.retryAfterStop(callerWaits);
    else if (!failure.mayHaveRun() && failure.isRetryable())
        failure.retryAfter = m_context->engine.retryAfter(callerWaits, m_context->expectedWait);
    m_context->logOutcome(Severity::Warning, "refused", errorTraits(failure.kind).name, failure.detail);
    co_await m_context->sink.sendError(failure);
}

}
