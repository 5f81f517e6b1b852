#include "ReservationWait.h"

#include <borageslip_core/identity/Hash.h>
#include <borageslip_core/logging/Log.h>

#include <algorithm>

namespace borageslip::detail {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr int maxDenials = 4; ///< Consecutive reservation denials after which a request is queued.
    constexpr int prefixWaitDivisor = 3; ///< Of the latency objective; the longest wait for the server that has the prefix in its cache.
    constexpr uint64_t prefixTokensPerWait = 12; ///< Per millisecond of the wait. A server prefills some times as many, but also delays its other requests and evicts other prefixes.
    constexpr Duration pauseCheckInterval = milliseconds(100); ///< While all known servers of a service want no requests.
    constexpr int maxUnknownServers = 3; ///< Granted servers that are not listed at this instance, after which a request is rejected.

}

ReservationWait::ReservationWait(ExchangeContext& context)
    : m_context(context)
{
}

asio::awaitable<Result<ReservationPtr>> ReservationWait::awaitReservation()
{
    if (isEvacuated())
        co_return rejectEvacuated();
    if (!m_context.engine.hasServersInService(m_context.admitted.service))
        co_return Error { ErrorKind::NoEngineAvailable, "service \"" + m_context.admitted.service + "\" has no backend server in service" };
    if (auto tooLarge = m_context.engine.checkServerMemory(m_context.metadata, m_context.admitted); !isOk(tooLarge))
        co_return error(tooLarge);
    auto resumed = co_await awaitEndOfPause();
    if (!isOk(resumed))
        co_return error(resumed);
    if (m_context.engine.usesServiceQueue(m_context.admitted))
        co_return co_await awaitSlot();
    const bool isRetry = !m_context.triedServers.empty();
    if (isRetry || m_context.engine.waitQueue(m_context.admitted.service).isEmpty()) {
        const auto prefixWaits = isRetry ? PrefixWait::None : PrefixWait::Allowed;
        auto reservation = co_await acquireReservation(prefixWaits);
        if (reservation)
            co_return reservation;
    }
    if (isRetry)
        co_return m_context.lastError;
    co_return co_await waitInQueue();
}

Error ReservationWait::rejectEvacuated()
{
    ++m_context.engine.counts().evacuationRejections;
    return { ErrorKind::NoEngineAvailable, "all backend servers of \"" + m_context.admitted.service + "\" are in evacuated failure domains" };
}

asio::awaitable<Status> ReservationWait::awaitEndOfPause()
{
    while (!m_context.isStopped()) {
        const auto pause = m_context.engine.pauseOf(m_context.admitted.service);
        if (pause == Duration::zero())
            break;
        if (pause >= m_context.timeLeft()) {
            m_context.expectedWait = toMilliseconds(pause);
            co_return Error { ErrorKind::Overloaded, "all backend servers of \"" + m_context.admitted.service + "\" have asked this instance to wait" };
        }
        // Another server may be listed in the meantime.
        co_await m_context.wakeEvent.waitFor(std::min(pause, pauseCheckInterval));
    }
    co_return ok();
}

milliseconds ReservationWait::prefixWait() const
{
    const auto prefix = TrafficEngine::sharedPrefix(m_context.admitted);
    const milliseconds worthwhile(prefix.tokens / prefixTokensPerWait);
    return std::min({ worthwhile, m_context.route().latencyObjective / prefixWaitDivisor, m_context.timeLeft() });
}

uint64_t ReservationWait::sharedPrefill() const
{
    const auto prefix = TrafficEngine::sharedPrefix(m_context.admitted);
    return m_context.route().reusesPrefixes && PrefixFlights::isShared(prefix.tokens) ? prefix.hash : 0;
}

milliseconds ReservationWait::prefillWait() const
{
    if (sharedPrefill() == 0)
        return milliseconds(0);
    const auto objectiveLeft = toMilliseconds(m_context.route().latencyObjective - (m_context.engine.clock().now() - m_context.arrivedAt));
    return std::max(milliseconds(0), std::min(prefixWait(), objectiveLeft / prefixWaitDivisor));
}

asio::awaitable<ReservationResult> ReservationWait::requestReservation(BackendServer& server, Waits waits)
{
    const auto prefix = TrafficEngine::sharedPrefix(m_context.admitted);
    auto* broker = m_context.engine.reservationBroker();
    if (broker == nullptr)
        co_return ReservationResult { ReservationOutcome::Granted, prefix.hash != 0 && server.recordPrefix(prefix.hash) };
    const ReservationDemand demand { m_context.engine.reservationLimits(server, m_context.admitted), prefix, m_context.promptTokens(), m_context.admitted.requestPriority(), waits.forSlot, waits.forPrefill, m_context.engine.requestMemory(m_context.metadata, m_context.admitted) };
    co_return co_await broker->requestReservation(server, demand);
}

asio::awaitable<ReservationPtr> ReservationWait::acquireReservation(PrefixWait prefixWaits)
{
    auto excluded = m_context.triedServers;
    for (int denials = 0; denials < maxDenials && !m_context.isStopped(); ++denials) {
        const auto [chosen, reason] = m_context.engine.choose(m_context.admitted, excluded);
        if (!chosen)
            break;
        const auto [server, permit] = co_await awaitPermit(chosen, excluded);
        if (!server)
            continue;
        // A permit may be for another server than the chosen one.
        m_context.choiceReason = server == chosen ? reason : ChoiceReason::LeastLoaded;
        auto reservation = std::make_shared<ServerReservation>(m_context.engine, server, m_context.promptTokens(), nullptr, m_context.engine.requestMemory(m_context.metadata, m_context.admitted));
        const bool waitsForSlot = prefixWaits == PrefixWait::Allowed && reason == ChoiceReason::Affinity;
        Waits waits;
        // A permit for a cold server would expire during a wait.
        if (!permit)
            waits = { waitsForSlot ? prefixWait() : milliseconds(0), prefillWait() };
        const auto result = co_await requestReservation(*server, waits);
        // If the granting instance does not respond, proceed anyway: according to the local load data the server has
        // capacity.
        if (result.outcome != ReservationOutcome::Denied) {
            if (result.isPrefixCached)
                reservation->removeCachedTokens(static_cast<int64_t>(TrafficEngine::sharedPrefix(m_context.admitted).tokens));
            reservation->confirm();
            if (result.outcome == ReservationOutcome::Granted && !result.isPrefixCached)
                reservation->beginPrefill(sharedPrefill());
            reservation->setColdPermit(permit);
            co_return reservation;
        }
        excluded.push_back(server->hash());
    }
    co_return nullptr;
}

asio::awaitable<ReservationWait::PermittedServer> ReservationWait::awaitPermit(BackendServerPtr server, std::vector<uint64_t>& excluded)
{
    auto& coldServers = m_context.engine.coldServers();
    if (!coldServers.isLimited(*server))
        co_return PermittedServer { server };
    auto permit = co_await coldServers.requestPermit(*server, excluded);
    if (permit)
        server = m_context.engine.servers().find(permit->server);
    if (permit && server)
        co_return PermittedServer { server, permit };
    const auto cold = coldServers.limitedServers(m_context.admitted.service);
    excluded.insert(excluded.end(), cold.begin(), cold.end());
    co_return PermittedServer {};
}

QueuedRequest ReservationWait::queuedRequest() const
{
    // Callers choose their request ids, and a duplicate may arrive while the first request is still queued.
    const RequestId id(std::to_string(m_context.engine.nextSequenceNumber()));
    return { id, AccountId(m_context.admitted.account), requestCost(m_context.metadata.promptTokens, m_context.metadata.maxOutputTokens), m_context.engine.clock().now(), m_context.deadline };
}

asio::awaitable<Result<ReservationPtr>> ReservationWait::waitInQueue()
{
    const Error overloaded { ErrorKind::Overloaded, "no capacity became available on a backend server of \"" + m_context.admitted.service + "\" in time" };
    // The timeout of a stream covers the whole stream, whereas its caller is served from the first event on. The
    // service time is therefore not subtracted.
    const auto serviceTime = m_context.route().kind == RequestKind::Stream ? Duration::zero() : m_context.engine.serviceTime(m_context.admitted.service);
    const auto giveUpAt = latestStart(m_context.arrivedAt, m_context.deadline, m_context.route().latencyObjective, serviceTime);
    WaitQueueEntry queueEntry(m_context.engine.waitQueue(m_context.admitted.service), m_context.admitted.requestPriority(), queuedRequest(), m_context.wakeEvent);
    const EvacuationControl::Waiter waiter(m_context.engine.evacuation(), m_context.wakeEvent);
    const auto queuedAt = m_context.engine.clock().now();
    while (!m_context.isStopped() && queueEntry.isWaiting()) {
        if (isEvacuated()) {
            m_context.recordWait(queuedAt);
            co_return rejectEvacuated();
        }
        if (queueEntry.isFirst()) {
            auto reservation = co_await acquireReservation(PrefixWait::Allowed);
            if (reservation) {
                queueEntry.dequeue();
                m_context.recordWait(queuedAt);
                co_return reservation;
            }
        }
        const auto left = giveUpAt - m_context.engine.clock().now();
        if (left <= Duration::zero())
            break;
        co_await m_context.wakeEvent.waitFor(std::min<Duration>(left, queueCheckInterval));
    }
    m_context.recordWait(queuedAt);
    co_return overloaded;
}

SlotDemand ReservationWait::slotDemand() const
{
    const bool isStream = m_context.route().kind == RequestKind::Stream;
    // The timeout of a stream covers the whole stream, whereas its caller is served from the first event on.
    const auto serviceTime = isStream ? Duration::zero() : m_context.engine.serviceTime(m_context.admitted.service);
    const StartLimits limits = startLimits(m_context.arrivedAt, m_context.deadline, m_context.route().latencyObjective, serviceTime, isStream ? ResponseShape::Stream : ResponseShape::Whole);
    auto excluded = m_context.engine.unavailableServers(m_context.admitted.service);
    excluded.insert(excluded.end(), m_context.triedServers.begin(), m_context.triedServers.end());
    return { m_context.admitted.service, m_context.admitted.requestPriority(), hashBytes(m_context.admitted.account), limits.onTimeUntil, limits.startUntil, std::move(excluded) };
}

asio::awaitable<std::unique_ptr<SlotTicket>> ReservationWait::awaitDecision(const SlotDemand& demand)
{
    auto ticket = m_context.engine.reservationBroker()->requestSlot(demand, [&wakeEvent = m_context.wakeEvent] { wakeEvent.notify(); });
    const EvacuationControl::Waiter waiter(m_context.engine.evacuation(), m_context.wakeEvent);
    while (!m_context.isStopped() && ticket->outcome() == SlotTicket::Outcome::Waiting && !isEvacuated()) {
        const auto left = demand.startUntil - m_context.engine.clock().now();
        if (left <= Duration::zero())
            break;
        co_await m_context.wakeEvent.waitFor(left);
    }
    ++m_context.engine.counts().slotRequests.at(static_cast<size_t>(ticket->outcome()));
    m_context.record.recordCoordinator(ticket->coordinator());
    co_return ticket;
}

Error ReservationWait::rejectionError(const SlotTicket& ticket)
{
    if (isEvacuated())
        return rejectEvacuated();
    m_context.expectedWait = ticket.retryAfter();
    // After an attempt, its failure says more than the queue.
    if (!m_context.triedServers.empty())
        return m_context.lastError;
    return { ErrorKind::Overloaded, "no slot of \"" + m_context.admitted.service + "\" is expected to become free in time" };
}

asio::awaitable<Result<ReservationPtr>> ReservationWait::awaitSlot()
{
    auto demand = slotDemand();
    const auto queuedAt = m_context.engine.clock().now();
    int unknown = 0;
    while (unknown < maxUnknownServers && !m_context.isStopped()) {
        auto ticket = co_await awaitDecision(demand);
        auto server = m_context.engine.servers().find(ticket->server());
        if (ticket->outcome() == SlotTicket::Outcome::Unanswered) {
            // Without the coordinator, nobody knows how much of a rate limit is left.
            const auto limited = m_context.engine.rateLimitedServers(m_context.admitted.service);
            demand.excluded.insert(demand.excluded.end(), limited.begin(), limited.end());
            server = m_context.engine.choose(m_context.admitted, demand.excluded).server;
            if (server)
                ticket->useWithoutGrant(server->hash());
        }
        const bool isUsable = server && server->acceptsRequests();
        auto& coldServers = m_context.engine.coldServers();
        const bool needsPermit = isUsable && coldServers.isLimited(*server);
        std::optional<ColdPermit> permit;
        if (needsPermit)
            permit = co_await coldServers.requestPermit(*server);
        const bool isPermitted = !needsPermit || permit;
        if (isUsable && isPermitted && !m_context.isStopped()) {
            m_context.recordWait(queuedAt);
            auto reservation = std::make_shared<ServerReservation>(m_context.engine, server, 0, std::move(ticket));
            reservation->setColdPermit(permit);
            co_return reservation;
        }
        if (!isPermitted) {
            // The next ticket is for a warm server.
            const auto cold = coldServers.limitedServers(m_context.admitted.service);
            demand.excluded.insert(demand.excluded.end(), cold.begin(), cold.end());
            continue;
        }
        if (ticket->outcome() != SlotTicket::Outcome::Granted) {
            m_context.recordWait(queuedAt);
            co_return rejectionError(*ticket);
        }
        // The coordinator knows the server, and this instance does not or no longer.
        demand.excluded.push_back(ticket->server());
        if (!server || !server->isEvacuated()) {
            logEvent(Severity::Info, "slot-at-unknown-server", { { "request", m_context.metadata.requestId }, { "service", m_context.admitted.service }, { "coordinator", ticket->coordinator() }, { "is_listed", server != nullptr } });
            ++unknown;
            continue;
        }
        // The coordinator has not learned of the evacuation yet.
        const auto unavailable = m_context.engine.unavailableServers(m_context.admitted.service);
        demand.excluded.insert(demand.excluded.end(), unavailable.begin(), unavailable.end());
    }
    m_context.recordWait(queuedAt);
    co_return Error { ErrorKind::Overloaded, "no known backend server of \"" + m_context.admitted.service + "\" has a free slot" };
}

}
