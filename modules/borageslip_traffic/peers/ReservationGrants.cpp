#include "ReservationGrants.h"

#include <borageslip_core/identity/Hash.h>
#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <utility>

namespace borageslip {

using boost::asio::ip::udp;

namespace {

    using std::chrono::milliseconds;

    constexpr Duration minRateWait = milliseconds(10); ///< Between checks of a rate limit while requests wait for a slot as well.
    constexpr Duration lostServerCheck = milliseconds(20); ///< Between checks of the servers at which requests wait for prefixes.
    constexpr Duration maxReservationWait = std::chrono::seconds(5); ///< For which a request of another instance may wait here.

}

ReservationGrants::ReservationGrants(TrafficEngine& engine, PeerReportTable& reportTable, MemoryCoordination& memory, ReservationHost& host, std::string ownName)
    : m_engine(engine)
    , m_reportTable(reportTable)
    , m_memory(memory)
    , m_host(host)
    , m_ownName(std::move(ownName))
{
}

void ReservationGrants::applyReportedUsage(std::span<const uint64_t> servers)
{
    for (const auto server : servers)
        updatePeerUsage(server);
    for (const auto hash : servers) {
        if (const auto server = m_engine.servers().find(hash); server && m_waitList.first(hash) != nullptr)
            grantWaiting(*server);
    }
}

void ReservationGrants::poll()
{
    grantDue();
    denyExpired();
    denyAtLostServers();
    releasePrefixWaiters(m_prefixFlights.takeExpired(m_engine.clock().now()));
}

std::optional<TimePoint> ReservationGrants::nextPoll() const
{
    auto next = m_waitList.nextExpiry();
    const auto consider = [&](std::optional<TimePoint> due) {
        if (due)
            next = next ? std::min(*next, *due) : due;
    };
    consider(nextRateGrant());
    consider(m_prefixFlights.nextExpiry());
    if (!m_prefixWaiters.empty())
        consider(m_engine.clock().now() + lostServerCheck);
    return next;
}

void ReservationGrants::updatePeerUsage(uint64_t server)
{
    if (const auto listed = m_engine.servers().find(server)) {
        const auto usage = m_reportTable.totalUsage(server, m_engine.clock().now());
        listed->setReportedUsage(static_cast<int>(usage.inFlight), static_cast<int64_t>(usage.pendingPrefill));
    }
}

void ReservationGrants::receiveReservationMessage(const ReservationMessage& message, const udp::endpoint& sender)
{
    const auto now = m_engine.clock().now();
    const auto server = m_engine.servers().find(message.usage.server);
    const bool isApplied = m_reportTable.applyUsage(message, now);
    m_memory.receive(message);
    updatePeerUsage(message.usage.server);
    if (!server) {
        // A new server may not be listed at this instance yet. A reservation for it is granted, because the sender has
        // already checked the limits. The memory of the server, however, only its coordinator can check.
        if (message.isRequest)
            m_host.send(encodeReservationReply({ message.sequence, !message.memory, false, message.usage }), sender);
        return;
    }
    if (message.isRequest && isApplied)
        decideReservation(*server, message, sender);
    else
        grantWaiting(*server);
}

ServerUsage ReservationGrants::grantedUsage(const BackendServer& server) const
{
    const auto others = m_reportTable.totalUsage(server.hash(), m_engine.clock().now());
    const auto waiting = m_waitList.usage(server.hash());
    const auto requests = others.inFlight + static_cast<uint32_t>(server.ownInFlight());
    const auto tokens = others.pendingPrefill + static_cast<uint64_t>(std::max<int64_t>(0, server.ownPendingPrefill()));
    return { server.hash(), requests - std::min(requests, waiting.inFlight), tokens - std::min(tokens, waiting.pendingPrefill) };
}

bool ReservationGrants::canGrant(const BackendServer& server, const ServerUsage& usage, const ReservationLimits& limits) const
{
    const ReservationContext context { usage, m_engine.meanInFlight(server.description().service), m_engine.servers().capacityShare(server) };
    return server.isInService() && canGrantReservation(context, limits, m_engine.choiceLimits().capFactor);
}

RequestRate::Share ReservationGrants::rateShare(const BackendServer& server)
{
    return m_host.isCoordinatorOf(server.hash()) ? RequestRate::Share::Coordinator : RequestRate::Share::Other;
}

bool ReservationGrants::hasRate(BackendServer& server, uint64_t prefixTokens)
{
    const auto now = m_engine.clock().now();
    return !server.allowance().rateLimit(now) || server.allowance().hasRate(rateShare(server), prefixTokens, now);
}

void ReservationGrants::decideReservation(BackendServer& server, const ReservationMessage& message, const udp::endpoint& sender)
{
    const auto now = m_engine.clock().now();
    auto usage = grantedUsage(server);
    usage.inFlight -= std::min(usage.inFlight, 1u);
    usage.pendingPrefill -= std::min(usage.pendingPrefill, message.promptTokens);
    const bool isBehind = m_waitList.hasBefore(server.hash(), message.priority);
    server.allowance().recordDemand(message.prefix.tokens);
    const bool isWithinRate = hasRate(server, message.prefix.tokens);
    if (!m_memory.admits(server, message))
        return denyReservation(server, message, sender);
    if (!isBehind && isWithinRate && canGrant(server, usage, message.limits))
        return grantReservation(server, message, sender);
    const bool lacksSlot = isBehind || !isWithinRate || (message.limits.slots != 0 && usage.inFlight >= message.limits.slots);
    if (!isWithinRate && server.allowance().nextRequestAt(message.prefix.tokens, now) > now + message.waitWithin) {
        ++m_engine.counts().rateLimitDenials;
        return denyReservation(server, message, sender);
    }
    if (!lacksSlot || !server.isInService() || !m_waitList.hasRoom(message))
        return denyReservation(server, message, sender);
    m_waitList.add({ message, sender, now + std::min<Duration>(message.waitWithin, maxReservationWait) });
    replyTo(message, sender, { message.sequence, false, true, usage });
    m_host.schedulePoll();
}

void ReservationGrants::grantReservation(BackendServer& server, const ReservationMessage& message, const udp::endpoint& sender)
{
    server.allowance().takeRate(m_engine.clock().now());
    m_memory.recordGrant(server, message);
    const bool isPrefixCached = message.prefix.hash != 0 && server.recordPrefix(message.prefix.hash);
    if (isPrefixCached)
        reduceUsage(message, { server.hash(), 0, message.prefix.tokens });
    // Only routes that place requests by their prefixes limit the prefill backlog.
    const bool sharesPrefill = message.limits.pendingPrefill != 0 && message.prefix.hash != 0 && PrefixFlights::isShared(message.prefix.tokens);
    if (sharesPrefill && isPrefixCached && awaitPrefix(server, message, sender))
        return;
    if (sharesPrefill && !isPrefixCached) {
        m_prefixFlights.begin({ server.hash(), message.prefix.hash }, hashBytes(message.sender), message.prefix.tokens, m_engine.clock().now());
        m_host.schedulePoll();
    }
    replyTo(message, sender, { message.sequence, true, false, grantedUsage(server), isPrefixCached });
}

void ReservationGrants::denyReservation(const BackendServer& server, const ReservationMessage& message, const udp::endpoint& sender)
{
    reduceUsage(message, { server.hash(), 1, message.promptTokens });
    m_memory.recordDenial(message);
    replyTo(message, sender, { message.sequence, false, false, grantedUsage(server) });
}

void ReservationGrants::reduceUsage(const ReservationMessage& message, const ServerUsage& part)
{
    // The usage of this instance is not in the table.
    if (message.sender == m_ownName)
        return;
    auto usage = m_reportTable.usageBy(message.sender, part.server);
    usage.inFlight -= std::min(usage.inFlight, part.inFlight);
    usage.pendingPrefill -= std::min(usage.pendingPrefill, part.pendingPrefill);
    m_reportTable.setUsage(message.sender, usage);
    updatePeerUsage(part.server);
}

void ReservationGrants::replyTo(const ReservationMessage& message, const udp::endpoint& sender, const ReservationReply& reply)
{
    if (message.sender == m_ownName)
        m_host.receiveReservationReply(reply);
    else
        m_host.send(encodeReservationReply(reply), sender);
}

void ReservationGrants::grantWaiting(BackendServer& server)
{
    while (const auto* first = m_waitList.first(server.hash())) {
        if (!hasRate(server, first->message.prefix.tokens) || !canGrant(server, grantedUsage(server), first->message.limits) || !m_memory.fits(server, first->message))
            return;
        const auto granted = m_waitList.takeFirst(server.hash());
        grantReservation(server, granted.message, granted.sender);
    }
}

void ReservationGrants::grantDue()
{
    const auto now = m_engine.clock().now();
    for (const auto hash : m_waitList.servers()) {
        if (const auto server = m_engine.servers().find(hash); server && server->allowance().rateLimit(now))
            grantWaiting(*server);
    }
}

std::optional<TimePoint> ReservationGrants::nextRateGrant() const
{
    const auto now = m_engine.clock().now();
    std::optional<TimePoint> next;
    for (const auto hash : m_waitList.servers()) {
        const auto server = m_engine.servers().find(hash);
        if (!server || !server->allowance().rateLimit(now))
            continue;
        // A request that waits for a slot is granted with the end of another one.
        const auto due = std::max(server->allowance().nextRequestAt(m_waitList.first(hash)->message.prefix.tokens, now), now + minRateWait);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

void ReservationGrants::denyEvacuated()
{
    for (const auto hash : m_waitList.servers()) {
        const auto server = m_engine.servers().find(hash);
        while (server && server->isEvacuated() && m_waitList.first(hash) != nullptr) {
            const auto denied = m_waitList.takeFirst(hash);
            denyReservation(*server, denied.message, denied.sender);
        }
    }
}

void ReservationGrants::denyExpired()
{
    for (const auto& expired : m_waitList.takeExpired(m_engine.clock().now())) {
        if (const auto server = m_engine.servers().find(expired.message.usage.server))
            denyReservation(*server, expired.message, expired.sender);
    }
}

bool ReservationGrants::awaitPrefix(const BackendServer& server, const ReservationMessage& message, const udp::endpoint& sender)
{
    // Requests that are released together would exceed a rate limit, which was applied when they were granted.
    if (server.allowance().rateLimit(m_engine.clock().now()))
        return false;
    const auto number = ++m_lastPrefixWaiter;
    if (!m_prefixFlights.wait({ server.hash(), message.prefix.hash }, { number, hashBytes(message.sender) }, m_engine.clock().now()))
        return false;
    m_prefixWaiters.emplace(number, PrefixWaiter { message, sender, server.description().startedAtMs });
    replyTo(message, sender, { message.sequence, true, true, grantedUsage(server), true });
    m_host.schedulePoll();
    return true;
}

void ReservationGrants::releasePrefixWaiters(std::span<const uint64_t> ids)
{
    for (const auto id : ids) {
        const auto waiter = m_prefixWaiters.extract(id).mapped();
        if (const auto server = m_engine.servers().find(waiter.message.usage.server))
            replyTo(waiter.message, waiter.sender, { waiter.message.sequence, true, false, grantedUsage(*server), true });
    }
}

void ReservationGrants::startPrefill(uint64_t id)
{
    const auto waiter = m_prefixWaiters.extract(id).mapped();
    const auto server = m_engine.servers().find(waiter.message.usage.server);
    if (!server)
        return;
    if (waiter.message.sender != m_ownName) {
        auto usage = m_reportTable.usageBy(waiter.message.sender, server->hash());
        usage.pendingPrefill += waiter.message.prefix.tokens;
        m_reportTable.setUsage(waiter.message.sender, usage);
        updatePeerUsage(server->hash());
    }
    replyTo(waiter.message, waiter.sender, { waiter.message.sequence, true, false, grantedUsage(*server), false });
}

void ReservationGrants::receivePrefillEnd(const PrefillEndNotice& notice)
{
    const auto now = m_engine.clock().now();
    const auto server = m_engine.servers().find(notice.prefix.server);
    if (!server || isLost(notice.prefix.server))
        return denyAtLostServers();
    const auto owner = hashBytes(notice.sender);
    if (notice.end == PrefillEnd::Finished) {
        // An instance that has just become the coordinator does not know the prefix yet.
        server->recordPrefix(notice.prefix.prefix);
        return releasePrefixWaiters(m_prefixFlights.finish(notice.prefix, owner, now));
    }
    const auto failure = m_prefixFlights.fail(notice.prefix, owner, now);
    if (!failure.isKnown)
        return;
    ++m_engine.counts().prefillsFailed;
    logEvent(Severity::Info, "prefill-failed", { { "server", server->description().id }, { "prefix", notice.prefix.prefix }, { "taken_over", failure.next.has_value() } });
    if (failure.next)
        startPrefill(*failure.next);
    else
        server->forgetPrefix(notice.prefix.prefix);
}

bool ReservationGrants::isLost(uint64_t hash) const
{
    const auto server = m_engine.servers().find(hash);
    if (!server || !server->isInService() || server->isEjected(m_engine.clock().now()))
        return true;
    return std::any_of(m_prefixWaiters.begin(), m_prefixWaiters.end(), [&](const auto& entry) {
        const auto& waiter = entry.second;
        return waiter.message.usage.server == hash && waiter.serverStartedAtMs != server->description().startedAtMs;
    });
}

void ReservationGrants::denyAtLostServers()
{
    for (const auto hash : m_prefixFlights.servers()) {
        if (!isLost(hash))
            continue;
        const auto ids = m_prefixFlights.drop(hash);
        logEvent(Severity::Info, "prefix-waits-denied", { { "server", hash }, { "requests", ids.size() } });
        for (const auto id : ids) {
            const auto waiter = m_prefixWaiters.extract(id).mapped();
            const auto& message = waiter.message;
            // The tokens of the prefix were subtracted when the request was granted.
            reduceUsage(message, { hash, 1, message.promptTokens - std::min(message.promptTokens, message.prefix.tokens) });
            m_memory.recordDenial(message);
            replyTo(message, waiter.sender, { message.sequence, false, false, { hash, 0, 0 } });
        }
    }
}

}
