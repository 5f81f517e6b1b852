#include "Exchange.h"

#include "ServerReservation.h"

#include <borageslip_core/errors/Invariant.h>
#include <borageslip_core/identity/Hash.h>
#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace borageslip {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds longestConfirmation { 1000 }; ///< For which a refusal may wait for the configuration to be confirmed.
    constexpr int confirmationDivisor = 3; ///< Of the time that the caller waits; leaves time to serve the request.
    constexpr Duration connectLimit = milliseconds(250);
    constexpr int maxDenials = 4; ///< Consecutive reservation denials after which a request is queued.
    constexpr int prefixWaitDivisor = 3; ///< Of the latency objective; the longest wait for the server that has the prefix in its cache.
    constexpr uint64_t prefixTokensPerWait = 12; ///< Per millisecond of the wait. A server prefills some times as many, but also delays its other requests and evicts other prefixes.
    constexpr Duration pauseCheckInterval = milliseconds(100); ///< While all known servers of a service want no requests.
    constexpr int maxUnknownServers = 3; ///< Granted servers that are not listed at this instance, after which a request is rejected.
    constexpr int maxUnreachableServers = 3; ///< Connection failures to backend servers after which a request fails.
    constexpr int maxMismatchedResponses = 2; ///< Responses to other requests that are discarded on one connection.
    constexpr size_t maxBufferedResponseBytes = 256 * 1024; ///< A longer response is forwarded while it is still arriving.
    constexpr size_t maxPartialEventBytes = 256 * 1024; ///< Of a stream event that is still arriving.
    constexpr size_t maxInlineRequestBytes = 4 * 1024; ///< A longer request is written concurrently with reading the response.

    constexpr double minRateLimit = 0.1; ///< Requests a second; a lower limit is taken for this, so that its end is noticed.
    constexpr double maxRateLimit = 1e6; ///< Requests a second; a higher limit is taken for this.

    bool isSoundRateLimit(const Result<double>& limit)
    {
        return isOk(limit) && value(limit) > 0 && value(limit) <= maxRateLimit;
    }

    /** The limit to apply; nothing if the figure cannot be read, in which case the limit known before holds. */
    std::optional<double> validRateLimit(const Result<double>& limit)
    {
        return isOk(limit) ? std::optional(std::clamp(value(limit), minRateLimit, maxRateLimit)) : std::nullopt;
    }

    /** Whether a newer configuration might admit the request. */
    bool isRefusedByConfiguration(const Result<AdmittedRequest>& admitted)
    {
        return !isOk(admitted) && (error(admitted).kind == ErrorKind::NotFound || error(admitted).kind == ErrorKind::Unauthenticated);
    }

}

Exchange::Exchange(TrafficEngine& engine, ResponseSink& sink, HttpRequest request, TimePoint arrivedAt)
    : m_engine(engine)
    , m_sink(sink)
    , m_request(std::move(request))
    , m_metadata(engine.protocol().requestMetadata(m_request))
    , m_arrivedAt(arrivedAt)
    , m_receivedAt(engine.clock().now())
    , m_deadline(arrivedAt)
    , m_deadlineTimer(engine.executor())
    , m_phaseBegunAt(arrivedAt)
    , m_wakeEvent(engine.executor())
    , m_record(m_metadata.requestId, arrivedAt)
{
}

OpenRequest Exchange::openRequest() const
{
    const auto phase = m_sink.hasBegun() ? RequestPhase::Responding : m_phase;
    return { m_metadata.requestId, phase, m_arrivedAt, m_phaseBegunAt, m_activeServer ? m_activeServer->description().id : std::string() };
}

void Exchange::setPhase(RequestPhase phase)
{
    m_phase = phase;
    m_phaseBegunAt = m_engine.clock().now();
}

milliseconds Exchange::timeLeft() const
{
    return std::max(milliseconds(0), toMilliseconds(m_deadline - m_engine.clock().now()));
}

asio::awaitable<void> Exchange::run()
{
    ++m_engine.counts().requests;
    auto admitted = m_engine.admit(m_request, m_metadata);
    if (isRefusedByConfiguration(admitted) && !m_engine.isConfigurationFresh())
        admitted = co_await admitWhenConfirmed();
    if (!isOk(admitted)) {
        co_await finish(error(admitted));
        co_return;
    }
    m_admitted = value(std::move(admitted));
    m_deadline = m_arrivedAt + std::min(route().timeout, m_metadata.timeLeft.value_or(route().timeout));
    startDeadline();
    co_await serve();
    m_deadlineTimer.cancel();
    m_engine.counts().durations.record(m_engine.clock().now() - m_arrivedAt);
}

asio::awaitable<Result<AdmittedRequest>> Exchange::admitWhenConfirmed()
{
    ++m_engine.counts().confirmations;
    const auto limit = std::min(longestConfirmation, m_metadata.timeLeft.value_or(longestConfirmation) / confirmationDivisor);
    const auto until = m_engine.clock().now() + limit;
    const TrafficEngine::ConfirmationWaiter waiter(m_engine, m_wakeEvent);
    while (m_stopReason == StopReason::None && !m_engine.isConfigurationFresh()) {
        const auto left = until - m_engine.clock().now();
        if (left <= Duration::zero())
            break;
        co_await m_wakeEvent.waitFor(left);
    }
    auto admitted = m_engine.admit(m_request, m_metadata);
    if (isRefusedByConfiguration(admitted) && !m_engine.isConfigurationFresh()) {
        ++m_engine.counts().confirmationsMissed;
        co_return Error { ErrorKind::StoreUnavailable, "the configuration may be out of date: " + error(admitted).detail };
    }
    co_return admitted;
}

void Exchange::startDeadline()
{
    m_deadlineTimer.expires_after(timeLeft());
    m_deadlineTimer.async_wait([weak = weak_from_this()](boost::system::error_code failure) {
        const auto self = weak.lock();
        if (!failure && self)
            self->stop(StopReason::DeadlinePassed);
    });
}

void Exchange::stop(StopReason reason)
{
    if (m_stopReason != StopReason::None)
        return;
    m_stopReason = reason;
    if (m_activeConnection)
        m_activeConnection->close();
    m_wakeEvent.notify();
}

void Exchange::onCallerDisconnected()
{
    if (m_stopReason != StopReason::None)
        return;
    const bool continuesWithoutCaller = m_activeConnection && m_admitted.route != nullptr && route().kind == RequestKind::AtMostOnce;
    if (continuesWithoutCaller)
        return;
    countOutcome(&TrafficCounts::callersDisconnected);
    stop(StopReason::CallerDisconnected);
}

void Exchange::endForStop(StopScope scope)
{
    const bool isUnstarted = !m_mayHaveRun && !m_activeConnection && !m_sink.hasBegun();
    if (scope == StopScope::All || (isUnstarted && !m_engine.mayStart(m_receivedAt, m_deadline)))
        stop(StopReason::InstanceStopped);
}

asio::awaitable<void> Exchange::serve()
{
    m_engine.recordArrival(m_admitted);
    int unreachable = 0;
    while (m_stopReason == StopReason::None && m_sendCount < route().maxAttempts && unreachable < maxUnreachableServers && !isQuarantined() && !isTooLateToStart()) {
        setPhase(RequestPhase::Waiting);
        auto reservation = co_await awaitReservation();
        if (!isOk(reservation)) {
            m_lastError = error(reservation);
            break;
        }
        if (m_sendCount > 0 && !m_hasReservedRetry && !tryAcquireRetry())
            break;
        if (m_sendCount > 0)
            ++m_engine.counts().retries;
        m_hasReservedRetry = false;
        const auto result = co_await attempt(value(std::move(reservation)));
        m_activeServer = nullptr;
        if (result == AttemptResult::Delivered) {
            logOutcome(Severity::Info, "answered", "delivered", "");
            co_return;
        }
        if (result == AttemptResult::Aborted)
            break;
        if (result == AttemptResult::NotSent) {
            ++unreachable;
            continue;
        }
        ++m_sendCount;
        if (result == AttemptResult::Lost && (!route().mayRunAgain() || m_mayHaveCrashedServer))
            break;
    }
    if (m_lastError.kind == ErrorKind::PromptQuarantined)
        ++m_engine.counts().quarantineRejections;
    co_await finish(m_lastError);
}

bool Exchange::isQuarantined()
{
    if (!m_engine.quarantine().isActive())
        return false;
    std::optional<Duration> timeLeft;
    for (const auto& fingerprint : suspectFingerprints(m_metadata, m_request))
        timeLeft = std::max({ timeLeft, m_engine.quarantine().quarantineOf(fingerprint), m_engine.quarantine().quarantineOf(interruptedFingerprint(fingerprint)) });
    if (!timeLeft)
        return false;
    m_lastError = { ErrorKind::PromptQuarantined, "backend servers have crashed on this request or on parts of its prompt" };
    m_lastError.retryAfter = toMilliseconds(*timeLeft);
    return true;
}

bool Exchange::isTooLateToStart()
{
    if (m_mayHaveRun || m_engine.mayStart(m_receivedAt, m_deadline))
        return false;
    m_lastError = { ErrorKind::Draining, "this instance is shutting down" };
    return true;
}

asio::awaitable<void> Exchange::checkForCrash(const AttemptState& state)
{
    if (!state.isConnectionLost)
        co_return;
    auto suspects = interruptedFingerprints();
    // What clears the parts of a prompt is what makes its request no suspect, so that no crash goes unseen.
    if (!state.hasProgressed) {
        auto own = suspectFingerprints(m_metadata, m_request);
        std::move(own.begin(), own.end(), std::back_inserter(suspects));
    }
    const bool mayBeSentAgain = route().mayRunAgain() && m_sendCount + 1 < route().maxAttempts;
    auto check = m_engine.crashDetector().hasCrashed(state.server, std::move(suspects));
    if (state.hasProgressed || !mayBeSentAgain) {
        // Nothing depends on the result.
        asio::co_spawn(m_engine.executor(), std::move(check), asio::detached);
        co_return;
    }
    const bool hasCrashed = co_await std::move(check);
    m_mayHaveCrashedServer = hasCrashed && state.isResponseBegun && !m_metadata.promptParts.empty();
}

std::vector<PromptFingerprint> Exchange::interruptedFingerprints() const
{
    auto fingerprints = suspectFingerprints(m_metadata, m_request);
    std::transform(fingerprints.begin(), fingerprints.end(), fingerprints.begin(), interruptedFingerprint);
    return fingerprints;
}

void Exchange::recordProgress(AttemptState& state)
{
    constexpr size_t eventsOfProgress = 2; // Of the attempt. A crash may come right after the first event.
    const auto events = m_events.eventCount() - state.earlierEvents;
    if (events > 0 && state.bodyBegunAt == TimePoint())
        state.bodyBegunAt = m_engine.clock().now();
    if (events < eventsOfProgress || std::exchange(state.hasProgressed, true) || !m_engine.quarantine().hasSuspects())
        return;
    m_engine.recordProgress(suspectFingerprints(m_metadata, m_request), state.bodyBegunAt);
}

void Exchange::recordCompletion(AttemptState& state)
{
    if (state.bodyBegunAt == TimePoint() || !m_engine.quarantine().hasSuspects())
        return;
    if (!std::exchange(state.hasProgressed, true))
        m_engine.recordProgress(suspectFingerprints(m_metadata, m_request), state.bodyBegunAt);
    m_engine.recordProgress(interruptedFingerprints(), state.bodyBegunAt);
}

int64_t Exchange::promptTokens() const
{
    return m_metadata.promptParts.empty() ? 0 : m_metadata.promptTokens;
}

milliseconds Exchange::prefixWait() const
{
    const auto prefix = TrafficEngine::sharedPrefix(m_admitted);
    const milliseconds worthwhile(prefix.tokens / prefixTokensPerWait);
    return std::min({ worthwhile, route().latencyObjective / prefixWaitDivisor, timeLeft() });
}

asio::awaitable<ReservationResult> Exchange::requestReservation(BackendServer& server, milliseconds waitWithin)
{
    const auto prefix = TrafficEngine::sharedPrefix(m_admitted);
    auto* broker = m_engine.reservationBroker();
    if (broker == nullptr)
        co_return ReservationResult { ReservationOutcome::Granted, prefix.hash != 0 && server.recordPrefix(prefix.hash) };
    const ReservationDemand demand { m_engine.reservationLimits(server, m_admitted), prefix, promptTokens(), m_admitted.requestPriority(), waitWithin };
    co_return co_await broker->requestReservation(server, demand);
}

asio::awaitable<Exchange::ReservationPtr> Exchange::acquireReservation(PrefixWait prefixWaits)
{
    auto excluded = m_triedServers;
    for (int denials = 0; denials < maxDenials && m_stopReason == StopReason::None; ++denials) {
        const auto [server, reason] = m_engine.choose(m_admitted, excluded);
        if (!server)
            break;
        m_choiceReason = reason;
        auto reservation = std::make_shared<detail::ServerReservation>(m_engine, server, promptTokens());
        const bool waits = prefixWaits == PrefixWait::Allowed && reason == ChoiceReason::Affinity;
        const auto waitWithin = waits ? prefixWait() : milliseconds(0);
        const auto result = co_await requestReservation(*server, waitWithin);
        // If the granting instance does not respond, proceed anyway: according to the local load data the server has
        // capacity.
        if (result.outcome != ReservationOutcome::Denied) {
            if (result.isPrefixCached)
                reservation->removeCachedTokens(static_cast<int64_t>(TrafficEngine::sharedPrefix(m_admitted).tokens));
            reservation->confirm();
            co_return reservation;
        }
        excluded.push_back(server->hash());
    }
    co_return nullptr;
}

asio::awaitable<Result<Exchange::ReservationPtr>> Exchange::awaitReservation()
{
    if (!m_engine.hasServersInService(m_admitted.service))
        co_return Error { ErrorKind::NoEngineAvailable, "service \"" + m_admitted.service + "\" has no backend server in service" };
    auto resumed = co_await awaitEndOfPause();
    if (!isOk(resumed))
        co_return error(resumed);
    if (m_engine.usesServiceQueue(m_admitted))
        co_return co_await awaitSlot();
    const bool isRetry = !m_triedServers.empty();
    if (isRetry || m_engine.waitQueue(m_admitted.service).isEmpty()) {
        const auto prefixWaits = isRetry ? PrefixWait::None : PrefixWait::Allowed;
        auto reservation = co_await acquireReservation(prefixWaits);
        if (reservation)
            co_return reservation;
    }
    if (isRetry)
        co_return m_lastError;
    co_return co_await waitInQueue();
}

asio::awaitable<Status> Exchange::awaitEndOfPause()
{
    while (m_stopReason == StopReason::None) {
        const auto pause = m_engine.pauseOf(m_admitted.service);
        if (pause == Duration::zero())
            break;
        if (pause >= timeLeft()) {
            m_expectedWait = toMilliseconds(pause);
            co_return Error { ErrorKind::Overloaded, "all backend servers of \"" + m_admitted.service + "\" have asked this instance to wait" };
        }
        // Another server may be listed in the meantime.
        co_await m_wakeEvent.waitFor(std::min(pause, pauseCheckInterval));
    }
    co_return ok();
}

void Exchange::countOutcome(uint64_t TrafficCounts::*counter)
{
    // The caller may disconnect while its response is being written, which reports a second outcome.
    if (!std::exchange(m_isOutcomeCounted, true))
        ++(m_engine.counts().*counter);
}

void Exchange::recordWait(TimePoint since)
{
    const auto waited = m_engine.clock().now() - since;
    m_record.recordWait(waited);
    m_engine.counts().waits.record(waited);
}

bool Exchange::tryAcquireRetry()
{
    const bool isAllowed = m_engine.retryBudget(m_admitted.service).tryRetry(m_engine.clock().now());
    if (!isAllowed)
        ++m_engine.counts().retriesDenied;
    return isAllowed;
}

QueuedRequest Exchange::queuedRequest() const
{
    // Callers choose their request ids, and a duplicate may arrive while the first request is still queued.
    const RequestId id(std::to_string(m_engine.nextSequenceNumber()));
    return { id, AccountId(m_admitted.account), requestCost(m_metadata.promptTokens, m_metadata.maxOutputTokens), m_engine.clock().now(), m_deadline };
}

asio::awaitable<Result<Exchange::ReservationPtr>> Exchange::waitInQueue()
{
    const Error overloaded { ErrorKind::Overloaded, "no capacity became available on a backend server of \"" + m_admitted.service + "\" in time" };
    // The timeout of a stream covers the whole stream, whereas its caller is served from the first event on. The
    // service time is therefore not subtracted.
    const auto serviceTime = route().kind == RequestKind::Stream ? Duration::zero() : m_engine.serviceTime(m_admitted.service);
    const auto giveUpAt = latestStart(m_arrivedAt, m_deadline, route().latencyObjective, serviceTime);
    WaitQueueEntry queueEntry(m_engine.waitQueue(m_admitted.service), m_admitted.requestPriority(), queuedRequest(), m_wakeEvent);
    const auto queuedAt = m_engine.clock().now();
    while (m_stopReason == StopReason::None && queueEntry.isWaiting()) {
        if (queueEntry.isFirst()) {
            auto reservation = co_await acquireReservation(PrefixWait::Allowed);
            if (reservation) {
                queueEntry.dequeue();
                recordWait(queuedAt);
                co_return reservation;
            }
        }
        const auto left = giveUpAt - m_engine.clock().now();
        if (left <= Duration::zero())
            break;
        co_await m_wakeEvent.waitFor(std::min<Duration>(left, queueCheckInterval));
    }
    recordWait(queuedAt);
    co_return overloaded;
}

SlotDemand Exchange::slotDemand() const
{
    const bool isStream = route().kind == RequestKind::Stream;
    // The timeout of a stream covers the whole stream, whereas its caller is served from the first event on.
    const auto serviceTime = isStream ? Duration::zero() : m_engine.serviceTime(m_admitted.service);
    const StartLimits limits = startLimits(m_arrivedAt, m_deadline, route().latencyObjective, serviceTime, isStream ? ResponseShape::Stream : ResponseShape::Whole);
    auto excluded = m_engine.unavailableServers(m_admitted.service);
    excluded.insert(excluded.end(), m_triedServers.begin(), m_triedServers.end());
    return { m_admitted.service, m_admitted.requestPriority(), hashBytes(m_admitted.account), limits.onTimeUntil, limits.startUntil, std::move(excluded) };
}

asio::awaitable<std::unique_ptr<SlotTicket>> Exchange::awaitDecision(const SlotDemand& demand)
{
    auto ticket = m_engine.reservationBroker()->requestSlot(demand, [this] { m_wakeEvent.notify(); });
    while (m_stopReason == StopReason::None && ticket->outcome() == SlotTicket::Outcome::Waiting) {
        const auto left = demand.startUntil - m_engine.clock().now();
        if (left <= Duration::zero())
            break;
        co_await m_wakeEvent.waitFor(left);
    }
    ++m_engine.counts().slotRequests.at(static_cast<size_t>(ticket->outcome()));
    m_record.recordCoordinator(ticket->coordinator());
    co_return ticket;
}

Error Exchange::rejectionError(const SlotTicket& ticket)
{
    m_expectedWait = ticket.retryAfter();
    // After an attempt, its failure says more than the queue.
    if (!m_triedServers.empty())
        return m_lastError;
    return { ErrorKind::Overloaded, "no slot of \"" + m_admitted.service + "\" is expected to become free in time" };
}

asio::awaitable<Result<Exchange::ReservationPtr>> Exchange::awaitSlot()
{
    auto demand = slotDemand();
    const auto queuedAt = m_engine.clock().now();
    for (int unknown = 0; unknown < maxUnknownServers && m_stopReason == StopReason::None; ++unknown) {
        auto ticket = co_await awaitDecision(demand);
        auto server = m_engine.servers().find(ticket->server());
        if (ticket->outcome() == SlotTicket::Outcome::Unanswered) {
            // Without the coordinator, nobody knows how much of a rate limit is left.
            const auto limited = m_engine.rateLimitedServers(m_admitted.service);
            demand.excluded.insert(demand.excluded.end(), limited.begin(), limited.end());
            server = m_engine.choose(m_admitted, demand.excluded).server;
            if (server)
                ticket->useWithoutGrant(server->hash());
        }
        const bool isUsable = server && server->acceptsRequests();
        if (isUsable && m_stopReason == StopReason::None) {
            recordWait(queuedAt);
            auto reservation = std::make_shared<detail::ServerReservation>(m_engine, server, 0, std::move(ticket));
            co_return reservation;
        }
        if (ticket->outcome() != SlotTicket::Outcome::Granted) {
            recordWait(queuedAt);
            co_return rejectionError(*ticket);
        }
        // The coordinator knows the server, and this instance does not or no longer.
        demand.excluded.push_back(ticket->server());
    }
    recordWait(queuedAt);
    co_return Error { ErrorKind::Overloaded, "no known backend server of \"" + m_admitted.service + "\" has a free slot" };
}

asio::awaitable<Exchange::AttemptResult> Exchange::attempt(ReservationPtr reservation)
{
    const auto server = reservation->server();
    m_record.recordSend(*server, m_engine, { m_choiceReason, m_admitted.affinity, reservation->pendingTokens() });
    m_triedServers.push_back(server->hash());
    m_activeServer = server;
    setPhase(RequestPhase::Connecting);
    AttemptState state { std::move(reservation), server, server->pool().takeIdle() };
    if (!state.connection) {
        auto connected = co_await ConnectionPool::connect(m_engine.executor(), server->pool().endpoint(), connectLimit);
        if (!isOk(connected)) {
            server->recordUnreachable();
            m_lastError = error(connected);
            logEvent(Severity::Warning, "server-unreachable", { { "request", m_metadata.requestId }, { "server", server->description().id }, { "detail", m_lastError.detail } });
            co_return AttemptResult::NotSent;
        }
        state.connection = value(std::move(connected));
    }
    if (m_stopReason != StopReason::None)
        co_return AttemptResult::Aborted;
    if (!server->acceptsRequests()) {
        m_lastError = { ErrorKind::EngineUnreachable, "the backend server was taken out of service while the connection was being opened" };
        co_return AttemptResult::NotSent;
    }
    // The request may have waited since the last check.
    if (isQuarantined() || isTooLateToStart())
        co_return AttemptResult::NotSent;
    m_activeConnection = state.connection;
    const auto result = co_await send(state);
    m_activeConnection = nullptr;
    if (m_stopReason != StopReason::None && result != AttemptResult::Delivered) {
        m_mayHaveRun |= state.attempt.mayHaveRun();
        co_return AttemptResult::Aborted;
    }
    if (result == AttemptResult::Lost)
        co_await checkForCrash(state);
    co_return result;
}

std::string Exchange::forwardedHead(const BackendServer& server) const
{
    HttpRequest outgoing;
    outgoing.method_string(m_request.method_string());
    outgoing.target(m_request.target());
    for (const auto& field : m_request)
        outgoing.insert(field.name_string(), field.value());
    removeHopByHopFields(outgoing);
    ForwardingMetadata metadata { timeLeft(), server.description().id, m_admitted.account };
    if (m_events.lastEventId())
        metadata.resumeAfter = *m_events.lastEventId();
    m_engine.protocol().prepareForwarding(outgoing, metadata);
    return serializeRequestHead(outgoing, m_request.body().size());
}

asio::awaitable<void> Exchange::writeRequest(std::shared_ptr<Exchange> self, ServerConnectionPtr connection, std::string head, std::shared_ptr<bool> isWritten)
{
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(head), asio::buffer(self->m_request.body()) };
    boost::system::error_code failure;
    co_await asio::async_write(connection->socket, buffers, asio::redirect_error(asio::use_awaitable, failure));
    *isWritten = !failure;
}

asio::awaitable<Exchange::AttemptResult> Exchange::send(AttemptState& state)
{
    state.attempt.fire(AttemptEvent::Send);
    setPhase(RequestPhase::AwaitingHead);
    state.sentAt = m_engine.clock().now();
    state.earlierEvents = m_events.eventCount();
    m_engine.servers().recordSend(*state.server);
    auto head = forwardedHead(*state.server);
    // A backend server may respond before it has read the whole body of a long request.
    if (head.size() + m_request.body().size() > maxInlineRequestBytes)
        asio::co_spawn(m_engine.executor(), writeRequest(shared_from_this(), state.connection, std::move(head), state.isWritten), asio::detached);
    else
        co_await writeRequest(shared_from_this(), state.connection, std::move(head), state.isWritten);
    co_return co_await receive(state);
}

void Exchange::applyServerNotices(const AttemptState& state, const ResponseMetadata& metadata)
{
    auto& server = *state.server;
    // The response may come from another server at the same address.
    if (metadata.isMisdirected)
        return;
    if (metadata.isServerLeaving && !server.allowance().isLeaving()) {
        logEvent(Severity::Info, "server-leaving", { { "server", server.description().id } });
        server.setLeaving();
    }
    if (metadata.retryAfter) {
        logEvent(Severity::Info, "server-paused", { { "server", server.description().id }, { "retry_after_ms", metadata.retryAfter->count() } });
        server.allowance().pauseUntil(m_engine.clock().now() + *metadata.retryAfter);
    }
    m_engine.servers().shareNotices(state.server);
}

void Exchange::applyRateLimit(const AttemptState& state, const ResponseMetadata& metadata)
{
    if (metadata.isMisdirected)
        return;
    const auto now = m_engine.clock().now();
    auto& server = *state.server;
    bool hasChanged = false;
    if (!metadata.rateLimit) {
        hasChanged = server.allowance().recordNoRateLimit(state.sentAt, now);
    } else if (const auto limit = validRateLimit(*metadata.rateLimit)) {
        hasChanged = server.allowance().recordRateLimit({ *limit, now });
    }
    if (metadata.rateLimit && !isSoundRateLimit(*metadata.rateLimit)) {
        ++m_engine.counts().invalidRateLimits;
        logEvent(Severity::Warning, "rate-limit-invalid", { { "server", server.description().id }, { "detail", isOk(*metadata.rateLimit) ? "the figure is out of range" : error(*metadata.rateLimit).detail } });
    }
    if (!hasChanged)
        return;
    m_engine.servers().shareNotices(state.server);
    logEvent(Severity::Info, "server-rate-limit", { { "server", server.description().id }, { "per_second", server.allowance().rateLimitNotice().perSecond } });
    if (auto* broker = m_engine.reservationBroker())
        broker->notifyRateLimit(server);
}

bool Exchange::isResponseToThisRequest(const AttemptState& state, const ResponseMetadata& metadata) const
{
    if (!metadata.requestId.empty())
        return metadata.requestId == m_metadata.requestId;
    // Without a request id, the response is certain to belong to this request only if the connection carried no other.
    return !state.connection->hasCarriedRequest && (metadata.isNotRun || metadata.isMisdirected);
}

asio::awaitable<Exchange::AttemptResult> Exchange::receive(AttemptState& state)
{
    const auto bodyKind = m_request.method() == boost::beast::http::verb::head ? ResponseReader::Body::None : ResponseReader::Body::Expected;
    m_engine.countPrompt(m_metadata, state.reservation->pendingTokens());
    for (int mismatched = 0; mismatched <= maxMismatchedResponses; ++mismatched) {
        ResponseSource source(*state.connection, m_engine.scratch(), m_engine.memory(), bodyKind);
        const auto& reader = source.reader();
        const bool hasHead = co_await source.readHead();
        state.reservation->onResponseBegun();
        if (!hasHead)
            co_return handleLostConnection(state, "connection lost before a response was received");
        state.isResponseBegun = true;
        setPhase(RequestPhase::AwaitingBody);
        const auto metadata = m_engine.protocol().responseMetadata(reader.head().result_int(), reader.head());
        applyServerNotices(state, metadata);
        if (!isResponseToThisRequest(state, metadata)) {
            logEvent(Severity::Warning, "foreign-answer", { { "request", m_metadata.requestId }, { "server", state.server->description().id }, { "answer", metadata.requestId } });
            const bool isDrained = co_await source.discardRest();
            if (!isDrained || reader.framing() == BodyFraming::UntilClose)
                co_return handleLostResponse(state, "connection lost after a response to another request");
            continue;
        }
        applyRateLimit(state, metadata);
        m_engine.recordServerLoad(*state.server, metadata);
        if (metadata.isEncoded)
            co_return handleLostResponse(state, "response has a content encoding");
        if (metadata.isMisdirected)
            co_return handleMisdirected(state);
        if (metadata.isNotRun)
            co_return co_await handleNotRun(state, source);
        recordServerHealth(state, reader.head().result_int());
        const bool isSuccess = reader.head().result_int() / 100 == 2;
        if (!isSuccess && tryReserveRetry(reader.head().result_int())) {
            m_mayHaveRun = true;
            m_lastError = { ErrorKind::ServiceFailed, "the backend server returned a server error" };
            state.connection->close();
            co_return AttemptResult::Lost;
        }
        if (!isSuccess && m_sink.hasBegun())
            co_return handleLostResponse(state, "backend server returned an error when the stream was resumed");
        if (isSuccess && route().kind == RequestKind::Stream)
            co_return co_await deliverStream(state, source);
        co_return co_await deliverBuffered(state, source);
    }
    co_return handleLostResponse(state, "too many responses to other requests");
}

void Exchange::recordServerHealth(const AttemptState& state, unsigned status)
{
    if (status / 100 == 5)
        m_engine.servers().recordFailure(*state.server, state.sentAt);
    else
        m_engine.servers().recordAnswer(*state.server, state.sentAt);
}

bool Exchange::tryReserveRetry(unsigned status)
{
    const bool isAllowed = status >= 500 && route().mayRunAgain() && m_sendCount + 1 < route().maxAttempts;
    if (!isAllowed || !tryAcquireRetry())
        return false;
    m_hasReservedRetry = true;
    return true;
}

Exchange::AttemptResult Exchange::handleMisdirected(AttemptState& state)
{
    state.attempt.fire(AttemptEvent::NotRun);
    state.connection->close();
    state.server->recordUnreachable();
    m_lastError = { ErrorKind::EngineUnreachable, "the address now belongs to another backend server" };
    logEvent(Severity::Info, "misdirected", { { "request", m_metadata.requestId }, { "server", state.server->description().id } });
    // The request did not reach the intended server, but the resend still counts against the retry budget.
    return tryAcquireRetry() ? AttemptResult::NotSent : AttemptResult::NotRun;
}

asio::awaitable<Exchange::AttemptResult> Exchange::handleNotRun(AttemptState& state, ResponseSource& source)
{
    state.attempt.fire(AttemptEvent::NotRun);
    m_lastError = { ErrorKind::EngineRefused, "the backend server did not take the request" };
    logEvent(Severity::Info, "not-run", { { "request", m_metadata.requestId }, { "server", state.server->description().id }, { "status", source.reader().head().result_int() } });
    const bool isDrained = co_await source.discardRest();
    if (isDrained)
        releaseConnection(state, source.reader());
    co_return AttemptResult::NotRun;
}

Exchange::AttemptResult Exchange::handleLostResponse(AttemptState& state, std::string_view reason)
{
    state.connection->close();
    m_mayHaveRun = true;
    m_lastError = { ErrorKind::ServiceFailed, std::string(reason) };
    if (m_stopReason == StopReason::None) {
        state.server->recordFailure();
        m_engine.servers().recordFailure(*state.server, state.sentAt);
        logEvent(Severity::Warning, "answer-lost", { { "request", m_metadata.requestId }, { "server", state.server->description().id }, { "reason", reason } });
    }
    return AttemptResult::Lost;
}

Exchange::AttemptResult Exchange::handleLostConnection(AttemptState& state, std::string_view reason)
{
    state.isConnectionLost = true;
    return handleLostResponse(state, reason);
}

void Exchange::releaseConnection(AttemptState& state, const ResponseReader& reader)
{
    auto& connection = state.connection;
    if (!connection->receiveBuffer.empty())
        logEvent(Severity::Warning, "bytes-after-answer", { { "request", m_metadata.requestId }, { "server", state.server->description().id } });
    const bool isReusable = reader.keepsConnection() && reader.framing() != BodyFraming::UntilClose && connection->receiveBuffer.empty() && *state.isWritten && state.server->isInService();
    if (!isReusable) {
        connection->close();
        return;
    }
    connection->keepAlive = keepAliveTime(reader.head());
    state.server->pool().returnConnection(connection);
}

asio::awaitable<Exchange::AttemptResult> Exchange::deliverBuffered(AttemptState& state, ResponseSource& source)
{
    auto& reader = source.reader();
    std::string body = reader.takeBody();
    while (!reader.isDone() && body.size() <= maxBufferedResponseBytes) {
        const bool isOpen = co_await source.readMore(body.size());
        if (!isOpen)
            co_return handleLostConnection(state, "connection lost within the response body");
        body += reader.takeBody();
    }
    state.server->recordSuccess();
    const bool isSuccess = reader.head().result_int() / 100 == 2;
    if (isSuccess)
        state.bodyBegunAt = m_engine.clock().now();
    HttpResponseHead head = reader.head();
    removeHopByHopFields(head);
    const auto length = reader.isDone() ? std::optional<uint64_t>(reader.framing() == BodyFraming::Length ? reader.contentLength().value_or(body.size()) : body.size()) : reader.contentLength();
    co_await m_sink.begin(head, length);
    bool isTaken = co_await m_sink.write(body);
    while (isTaken && !reader.isDone()) {
        const bool isOpen = co_await source.readMore();
        if (!isOpen) {
            handleLostResponse(state, "connection lost within a long response body");
            co_return AttemptResult::Aborted;
        }
        isTaken = co_await m_sink.write(reader.takeBody());
    }
    if (isSuccess && reader.isDone())
        recordCompletion(state);
    if (isTaken) {
        co_await m_sink.end();
        countOutcome(&TrafficCounts::answered);
        m_engine.recordServiceTime(m_admitted.service, m_engine.clock().now() - state.sentAt);
    }
    state.attempt.fire(AttemptEvent::Finish);
    if (reader.isDone())
        releaseConnection(state, reader);
    else
        state.connection->close();
    co_return isTaken ? AttemptResult::Delivered : AttemptResult::Aborted;
}

asio::awaitable<Exchange::AttemptResult> Exchange::deliverStream(AttemptState& state, ResponseSource& source)
{
    auto& reader = source.reader();
    state.attempt.fire(AttemptEvent::Event);
    if (!m_sink.hasBegun()) {
        HttpResponseHead head = reader.head();
        removeHopByHopFields(head);
        co_await m_sink.begin(head, std::nullopt);
    }
    const auto bodyType = streamBodyType(reader.head());
    while (true) {
        auto bytes = reader.takeBody();
        if (bodyType != StreamBodyType::Other) {
            bytes = m_events.feed(bytes);
            recordProgress(state);
        }
        if (m_events.partialEventBytes() > maxPartialEventBytes) {
            m_events.dropPartialEvent();
            co_return handleLostResponse(state, "the stream has an event that is too long");
        }
        bool isTaken = !m_sink.isCallerDisconnected();
        if (!bytes.empty())
            isTaken = co_await m_sink.write(bytes);
        if (!isTaken) {
            state.connection->close();
            co_return AttemptResult::Aborted;
        }
        if (reader.isDone())
            break;
        const bool isOpen = co_await source.readMore(m_events.partialEventBytes());
        if (!isOpen) {
            m_events.dropPartialEvent();
            co_return handleLostConnection(state, "connection lost within a stream");
        }
    }
    if (m_events.partialEventBytes() > 0) {
        // A body of an unknown type that has no event and ends as its framing says is complete.
        const bool hasEvents = bodyType == StreamBodyType::Events || m_events.eventCount() > state.earlierEvents;
        if (hasEvents || reader.framing() == BodyFraming::UntilClose) {
            m_events.dropPartialEvent();
            co_return handleLostResponse(state, "the stream ended within an event");
        }
        co_await m_sink.write(m_events.takePartialEvent());
    }
    co_await m_sink.end();
    state.attempt.fire(AttemptEvent::Finish);
    state.server->recordSuccess();
    recordCompletion(state);
    releaseConnection(state, reader);
    countOutcome(&TrafficCounts::answered);
    co_return AttemptResult::Delivered;
}

void Exchange::logOutcome(Severity severity, std::string_view event, std::string_view outcome, std::string_view detail) const
{
    if (isLogged(severity))
        m_record.log(severity, event, outcome, detail, m_engine, m_admitted);
}

asio::awaitable<void> Exchange::finish(Error failure)
{
    if (m_stopReason == StopReason::CallerDisconnected || m_sink.isCallerDisconnected()) {
        countOutcome(&TrafficCounts::callersDisconnected);
        logOutcome(Severity::Info, "caller-left", "cancelled", m_lastError.detail);
        co_return;
    }
    if (m_stopReason == StopReason::DeadlinePassed)
        failure = { m_mayHaveRun ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineBeforeStart, "the deadline passed" };
    if (m_stopReason == StopReason::InstanceStopped)
        failure = { m_mayHaveRun ? ErrorKind::ServiceFailed : ErrorKind::Draining, "this instance is shutting down" };
    if (m_sink.hasBegun()) {
        countOutcome(&TrafficCounts::failed);
        logOutcome(Severity::Warning, "broken-off", errorTraits(failure.kind).name, failure.detail);
        m_sink.abort();
        co_return;
    }
    if (m_mayHaveRun && !failure.mayHaveRun())
        failure = { ErrorKind::ServiceFailed, failure.detail };
    BORAGESLIP_INVARIANT(!m_mayHaveRun || failure.mayHaveRun(), "I3", "a request that may have run was reported as not run");
    countOutcome(failure.mayHaveRun() ? &TrafficCounts::failed : &TrafficCounts::refused);
    const auto callerWaits = m_admitted.route != nullptr ? timeLeft() : m_metadata.timeLeft.value_or(milliseconds(0));
    if (failure.kind == ErrorKind::Draining)
        failure.retryAfter = m_engine.retryAfterStop(callerWaits);
    else if (!failure.mayHaveRun() && failure.isRetryable())
        failure.retryAfter = m_engine.retryAfter(callerWaits, m_expectedWait);
    logOutcome(Severity::Warning, "refused", errorTraits(failure.kind).name, failure.detail);
    co_await m_sink.sendError(failure);
}

}
