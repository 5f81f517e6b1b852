#include "ReservationGrants.h"

#include <algorithm>
#include <utility>

namespace borageslip {

using boost::asio::ip::udp;

namespace {

    using std::chrono::milliseconds;

    constexpr Duration minRateWait = milliseconds(10); ///< Between checks of a rate limit while requests wait for a slot as well.
    constexpr Duration maxReservationWait = std::chrono::seconds(5); ///< For which a request of another instance may wait here.

}

ReservationGrants::ReservationGrants(TrafficEngine& engine, PeerReportTable& reportTable, ReservationHost& host, std::string ownName)
    : m_engine(engine)
    , m_reportTable(reportTable)
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
}

std::optional<TimePoint> ReservationGrants::nextPoll() const
{
    auto next = m_waitList.nextExpiry();
    if (const auto due = nextRateGrant())
        next = next ? std::min(*next, *due) : due;
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
    updatePeerUsage(message.usage.server);
    if (!server) {
        // A new server may not be listed at this instance yet. A reservation for it is granted, because the sender has
        // already checked the limits.
        if (message.isRequest)
            m_host.send(encodeReservationReply({ message.sequence, true, false, message.usage }), sender);
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
    const bool isPrefixCached = message.prefix.hash != 0 && server.recordPrefix(message.prefix.hash);
    if (isPrefixCached)
        reduceUsage(message, { server.hash(), 0, message.prefix.tokens });
    replyTo(message, sender, { message.sequence, true, false, grantedUsage(server), isPrefixCached });
}

void ReservationGrants::denyReservation(const BackendServer& server, const ReservationMessage& message, const udp::endpoint& sender)
{
    reduceUsage(message, { server.hash(), 1, message.promptTokens });
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
        if (!hasRate(server, first->message.prefix.tokens) || !canGrant(server, grantedUsage(server), first->message.limits))
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

void ReservationGrants::denyExpired()
{
    for (const auto& expired : m_waitList.takeExpired(m_engine.clock().now())) {
        if (const auto server = m_engine.servers().find(expired.message.usage.server))
            denyReservation(*server, expired.message, expired.sender);
    }
}

}
