#include "ReservationRequests.h"

#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>
#include <utility>

namespace borageslip {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr Duration replyTimeout = milliseconds(40); ///< A small fraction of the shortest latency objective.
    constexpr int timeoutsBeforeExclusion = 2; ///< A single timeout may be a lost datagram.
    constexpr Duration exclusionTime = std::chrono::seconds(2);
    constexpr Duration maxRateDeferral = std::chrono::seconds(1);

    /** Time after a denial until the next request for a reservation of a server with a rate limit. Randomised, so that the
        instances do not all ask at once. */
    Duration rateDeferral(double perSecond)
    {
        static std::minstd_rand s_random { std::random_device {}() };
        std::uniform_real_distribution<double> requests(0.3, 0.9);
        return std::min(maxRateDeferral, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(requests(s_random) / perSecond)));
    }

}

ReservationRequests::ReservationRequests(TrafficEngine& engine, ReservationHost& host, ReservationGrants& grants, const MemoryCoordination& memory, std::string ownName, uint64_t incarnation)
    : m_engine(engine)
    , m_host(host)
    , m_grants(grants)
    , m_memory(memory)
    , m_ownName(std::move(ownName))
    , m_incarnation(incarnation)
{
}

void ReservationRequests::endWaitsForEvacuated()
{
    for (const auto& [sequence, pending] : m_pendingRequests) {
        const auto server = pending.reply && pending.reply->isWaiting ? m_engine.servers().find(pending.reply->usage.server) : nullptr;
        if (server && server->isEvacuated())
            pending.signal->notify();
    }
}

void ReservationRequests::receiveReservationReply(const ReservationReply& reply)
{
    const auto found = m_pendingRequests.find(reply.sequence);
    if (found != m_pendingRequests.end()) {
        found->second.reply = reply;
        found->second.signal->notify();
        return;
    }
    // The request has ended in the meantime, and the coordinator counts it.
    if (const auto server = m_engine.servers().find(reply.usage.server); server && reply.isGranted)
        notifyUsageChanged(*server);
}

std::optional<ReservationPeer> ReservationRequests::coordinator(uint64_t server) const
{
    const auto now = m_engine.clock().now();
    std::vector<std::string_view> names;
    std::vector<std::optional<ReservationPeer>> listed;
    for (auto& peer : m_host.reservationPeers()) {
        const auto timeouts = m_timeouts.find(peer.name);
        if (timeouts != m_timeouts.end() && now < timeouts->second.excludedUntil)
            continue;
        names.push_back(peer.name);
        listed.emplace_back(std::move(peer));
    }
    if (m_host.acceptsCallers()) {
        names.emplace_back(m_ownName);
        listed.emplace_back();
    }
    const auto found = coordinatorOf(server, names);
    return found ? listed[*found] : std::nullopt;
}

void ReservationRequests::forgetTimeouts(std::string_view instance)
{
    if (const auto found = m_timeouts.find(instance); found != m_timeouts.end())
        m_timeouts.erase(found);
}

void ReservationRequests::recordReplyResult(const std::string& instance, bool hasReplied)
{
    if (hasReplied)
        return forgetTimeouts(instance);
    auto& timeouts = m_timeouts[instance];
    if (++timeouts.consecutive < timeoutsBeforeExclusion)
        return;
    timeouts = { 0, m_engine.clock().now() + exclusionTime };
    logEvent(Severity::Warning, "keeper-silent", { { "member", instance } });
}

ReservationMessage ReservationRequests::usageMessage(const BackendServer& server)
{
    const auto inFlight = static_cast<uint32_t>(server.ownInFlight());
    const auto pendingPrefill = static_cast<uint64_t>(std::max<int64_t>(0, server.ownPendingPrefill()));
    ReservationMessage message { m_ownName, m_incarnation, m_host.nextSequence(), { server.hash(), inFlight, pendingPrefill } };
    message.memory = m_memory.claim(server);
    return message;
}

asio::awaitable<ReservationResult> ReservationRequests::requestReservation(BackendServer& server, ReservationDemand demand)
{
    const auto found = coordinator(server.hash());
    auto message = usageMessage(server);
    message.isRequest = true;
    message.limits = demand.limits;
    message.prefix = demand.prefix;
    message.promptTokens = static_cast<uint64_t>(demand.promptTokens);
    message.priority = demand.priority;
    message.waitWithin = demand.waitWithin;
    message.memory = m_memory.claim(server, demand.memory);
    const bool isOwn = !found || !m_host.isOpen();
    const auto name = isOwn ? m_ownName : std::string(found->name);
    AutoResetEvent signal(m_engine.executor());
    m_pendingRequests[message.sequence] = { &signal, {} };
    if (isOwn)
        m_grants.decideReservation(server, message, {});
    else
        m_host.send(encodeReservationMessage(message), found->address);
    co_await signal.waitFor(replyTimeout);
    const auto& pending = m_pendingRequests.at(message.sequence);
    if (!isOwn && m_host.isMember(name))
        recordReplyResult(name, pending.reply.has_value());
    const auto askedAt = m_engine.clock().now();
    if (pending.reply && pending.reply->isWaiting && !pending.reply->isGranted) {
        ++m_engine.counts().reservationWaits;
        co_await signal.waitFor(demand.waitWithin + replyTimeout);
    }
    if (pending.reply && pending.reply->isWaiting && pending.reply->isGranted) {
        const auto waited = m_engine.clock().now() - askedAt;
        const auto within = std::max(Duration::zero(), demand.prefillWaitWithin - waited);
        co_await awaitPrefix(server, demand.prefix, pending, within);
    }
    const auto reply = m_pendingRequests.extract(message.sequence).mapped().reply;
    // The loads of a server that this instance coordinates are exact already.
    if (reply && !isOwn)
        applyStatedUsage(server, demand, *reply);
    co_return resultOf(server, demand, reply);
}

asio::awaitable<void> ReservationRequests::awaitPrefix(BackendServer& server, SharedPrefix prefix, const PendingRequest& pending, Duration within)
{
    ++m_engine.counts().prefixWaits;
    // The coordinator no longer counts the tokens that another request prefills.
    const auto tokens = static_cast<int64_t>(prefix.tokens);
    server.addPendingPrefill(-tokens);
    co_await pending.signal->waitFor(within);
    server.addPendingPrefill(tokens);
    if (pending.reply->isWaiting)
        ++m_engine.counts().prefixWaitsExpired;
}

ReservationResult ReservationRequests::resultOf(BackendServer& server, const ReservationDemand& demand, const std::optional<ReservationReply>& reply)
{
    auto outcome = ReservationOutcome::TimedOut;
    if (reply)
        outcome = reply->isGranted ? ReservationOutcome::Granted : ReservationOutcome::Denied;
    ++m_engine.counts().reservationRequests.at(static_cast<size_t>(outcome));
    const auto now = m_engine.clock().now();
    if (const auto limit = server.allowance().rateLimit(now); limit && outcome != ReservationOutcome::Granted) {
        server.deferUntil(now + rateDeferral(*limit), demand.prefix.tokens);
        // Without a reply, nobody knows how much of the rate limit is left.
        if (!reply)
            return { ReservationOutcome::Denied };
    }
    // Without a reply, nobody knows how much of the server's memory is left.
    if (!reply && m_memory.isGuarded(server)) {
        ++m_engine.counts().memoryUnanswered;
        return { ReservationOutcome::Denied };
    }
    if (!reply) {
        const ServerUsage known { server.hash(), static_cast<uint32_t>(std::max(0, server.inFlight() - 1)), static_cast<uint64_t>(std::max<int64_t>(0, server.pendingPrefill() - demand.promptTokens)) };
        return { m_grants.canGrant(server, known, demand.limits) ? ReservationOutcome::TimedOut : ReservationOutcome::Denied };
    }
    // The second reply was lost: the coordinator may count the request.
    if (reply->isWaiting)
        asio::post(m_engine.executor(), [this, hash = server.hash()] {
            if (const auto listed = m_engine.servers().find(hash))
                notifyUsageChanged(*listed);
        });
    return { outcome, reply->isPrefixCached };
}

void ReservationRequests::applyStatedUsage(BackendServer& server, const ReservationDemand& demand, const ReservationReply& reply)
{
    const int ownCounted = server.ownInFlight() - (reply.isGranted ? 0 : 1);
    const auto cachedTokens = static_cast<int64_t>(reply.isPrefixCached ? demand.prefix.tokens : 0);
    const int64_t ownTokens = server.ownPendingPrefill() - (reply.isGranted ? cachedTokens : demand.promptTokens);
    server.setStatedUsage(std::max(0, static_cast<int>(reply.usage.inFlight) - ownCounted), std::max<int64_t>(0, static_cast<int64_t>(reply.usage.pendingPrefill) - ownTokens));
}

void ReservationRequests::notifyUsageChanged(BackendServer& server)
{
    const auto found = coordinator(server.hash());
    if (!found)
        m_grants.grantWaiting(server);
    else if (m_host.isOpen())
        m_host.send(encodeReservationMessage(usageMessage(server)), found->address);
}

void ReservationRequests::notifyPrefillEnded(const BackendServer& server, uint64_t prefix, PrefillEnd end)
{
    const auto found = coordinator(server.hash());
    const PrefillEndNotice notice { m_ownName, { server.hash(), prefix }, end };
    if (!found)
        m_grants.receivePrefillEnd(notice);
    else if (m_host.isOpen())
        m_host.send(encodePrefillEndNotice(notice), found->address);
}

}
