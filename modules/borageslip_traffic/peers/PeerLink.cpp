#include "PeerLink.h"

#include "../net/SpawnTask.h"

#include <borageslip_core/identity/Hash.h>
#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <tuple>
#include <type_traits>
#include <utility>

namespace borageslip {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

    using std::chrono::milliseconds;

    constexpr Duration minReportInterval = milliseconds(100);
    constexpr Duration reportIntervalPerMember = milliseconds(12);
    constexpr int lostReportsBeforeExpiry = 8;
    constexpr int lostReportsOfDelisted = 2;
    constexpr int outcomeReportRepeats = 4; ///< Reports that repeat a server's outcomes after a change, and its rate limit after a response, because datagrams may be lost.
    constexpr Duration minReportLifetime = milliseconds(1200);
    constexpr size_t maxDatagramBytes = 16 * 1024;
    constexpr Duration coordinatorLifetime = milliseconds(50); ///< For which a ranked coordinator is reused.
    constexpr Duration replyTimeout = milliseconds(40); ///< A small fraction of the shortest latency objective.
    constexpr int timeoutsBeforeExclusion = 2; ///< A single timeout may be a lost datagram.
    constexpr Duration exclusionTime = std::chrono::seconds(2);
    constexpr Duration minRateWait = milliseconds(10); ///< Between checks of a rate limit while requests wait for a slot as well.
    constexpr Duration maxRateDeferral = std::chrono::seconds(1);
    constexpr Duration maxReservationWait = std::chrono::seconds(5); ///< For which a request of another instance may wait here.

    /** Time after a denial until the next request for a reservation of a server with a rate limit. Randomised, so that the
        instances do not all ask at once. */
    Duration rateDeferral(double perSecond)
    {
        static std::minstd_rand s_random { std::random_device {}() };
        std::uniform_real_distribution<double> requests(0.3, 0.9);
        return std::min(maxRateDeferral, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(requests(s_random) / perSecond)));
    }

}

PeerLink::PeerLink(TrafficEngine& engine, std::string ownName, double ownCapacity)
    : m_engine(engine)
    , m_ownName(std::move(ownName))
    , m_ownCapacity(ownCapacity)
    , m_incarnation(static_cast<uint64_t>(engine.clock().wallTime().time_since_epoch().count()))
    , m_socket(engine.executor())
    , m_timer(engine.executor())
    , m_reportTable(minReportLifetime)
    , m_pollEvent(engine.executor())
    , m_coordination(engine.clock(), *this, m_ownName, m_incarnation, engine.choiceLimits().capFactor)
{
    m_engine.setReservationBroker(this);
    m_engine.setPromptHealthListener(this);
}

PeerLink::~PeerLink()
{
    m_engine.setReservationBroker(nullptr);
    m_engine.setPromptHealthListener(nullptr);
}

Status PeerLink::open(const udp::endpoint& endpoint)
{
    boost::system::error_code failure;
    m_socket.open(endpoint.protocol(), failure);
    if (!failure)
        m_socket.bind(endpoint, failure);
    if (!failure)
        m_socket.non_blocking(true, failure);
    if (failure)
        return Error { ErrorKind::InvalidSettings, "cannot bind the peer address: " + failure.message() };
    spawnTask(m_engine.executor(), "receive peer messages", [this] { return receiveAll(); });
    spawnTask(m_engine.executor(), "send peer reports", [this] { return reportPeriodically(); });
    spawnTask(m_engine.executor(), "poll coordination", [this] { return pollCoordination(); });
    return ok();
}

Duration PeerLink::reportInterval() const
{
    return std::max<Duration>(minReportInterval, reportIntervalPerMember * m_members.size());
}

void PeerLink::setMember(Member member, MemberListing listing)
{
    if (member.name == m_ownName)
        return;
    const auto found = m_members.find(member.name);
    if (found != m_members.end() && found->second.member == member) {
        found->second.isDelisted = false;
        return;
    }
    logEvent(Severity::Info, "member-listed", { { "member", member.name } });
    const auto name = member.name;
    m_members[name] = { std::move(member), listing == MemberListing::Written ? m_engine.clock().now() : TimePoint() };
    m_coordinators.clear();
    m_reportTable.setLifetime(std::max(minReportLifetime, reportInterval() * lostReportsBeforeExpiry));
    m_engine.setInstanceCount(m_members.size() + 1);
}

bool PeerLink::isHeard(std::string_view name) const
{
    const auto longestSilence = std::max(minReportLifetime, reportInterval() * lostReportsOfDelisted);
    return m_reportTable.acceptsCallers(name) && m_reportTable.hasMessageWithin(name, longestSilence, m_engine.clock().now());
}

void PeerLink::removeMember(std::string_view name)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return;
    found->second.isDelisted = true;
    if (!isHeard(name))
        eraseMember(name);
    else
        logEvent(Severity::Warning, "member-delisted", { { "member", name } });
}

void PeerLink::eraseMember(std::string_view name)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return;
    logEvent(Severity::Info, "member-removed", { { "member", name } });
    m_members.erase(found);
    m_coordinators.clear();
    m_engine.setInstanceCount(m_members.size() + 1);
}

void PeerLink::eraseDelistedMembers()
{
    std::vector<std::string> lost;
    for (const auto& [name, listed] : m_members) {
        if (listed.isDelisted && !isHeard(name))
            lost.push_back(name);
    }
    for (const auto& name : lost)
        eraseMember(name);
}

void PeerLink::setAcceptsCallers(bool acceptsCallers)
{
    if (m_acceptsCallers == acceptsCallers)
        return;
    m_acceptsCallers = acceptsCallers;
    m_coordinators.clear();
    logEvent(Severity::Info, "takes-callers", { { "value", acceptsCallers } });
    if (m_socket.is_open())
        sendReports();
}

std::vector<asio::ip::tcp::endpoint> PeerLink::callerAddresses() const
{
    const auto now = m_engine.clock().now();
    const bool isAlone = m_reportTable.livePeerCount(now) == 0;
    std::vector<asio::ip::tcp::endpoint> addresses;
    for (const auto& [name, listed] : m_members) {
        const bool isNew = now - listed.listedAt < minReportLifetime;
        const bool isUsable = m_reportTable.hasRecentReport(name, now) ? m_reportTable.acceptsCallers(name) : (isAlone || isNew);
        if (isUsable)
            addresses.push_back(listed.member.callerAddress);
    }
    return addresses;
}

std::vector<StoreSource> PeerLink::storeSources(const Member& own) const
{
    const auto now = m_engine.clock().now();
    std::vector<ReaderCandidate> others;
    std::vector<asio::ip::tcp::endpoint> addresses;
    for (const auto& [name, listed] : m_members) {
        if (!m_reportTable.hasRecentReport(name, now) || !m_reportTable.acceptsCallers(name))
            continue;
        others.push_back({ name, listed.member.failureDomain, listed.member.linkCapacity });
        addresses.emplace_back(listed.member.peerAddress.address(), listed.member.peerAddress.port());
    }
    std::vector<StoreSource> sources;
    for (const auto& source : rankedStoreSources({ own.name, own.failureDomain, own.linkCapacity }, others))
        sources.push_back(source ? std::optional(addresses[*source]) : std::nullopt);
    return sources;
}

asio::awaitable<void> PeerLink::receiveAll()
{
    std::vector<uint8_t> datagram(maxDatagramBytes);
    while (m_socket.is_open()) {
        boost::system::error_code failure;
        udp::endpoint sender;
        const auto count = co_await m_socket.async_receive_from(asio::buffer(datagram), sender, asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure)
            continue;
        auto message = decodePeerMessage(std::span(datagram).first(count));
        if (!isOk(message)) {
            logEvent(Severity::Warning, "peer-report-invalid", { { "detail", error(message).detail } });
            continue;
        }
        receive(value(std::move(message)), sender);
    }
}

void PeerLink::receive(PeerMessage message, const udp::endpoint& sender)
{
    std::visit([&](auto& content) {
        using Content = std::decay_t<decltype(content)>;
        if constexpr (!std::is_same_v<Content, ReservationReply>)
            recordSender(content.sender);
        if constexpr (std::is_same_v<Content, PeerReport>)
            receiveReport(std::move(content), sender);
        else if constexpr (std::is_same_v<Content, ReservationMessage>)
            receiveReservationMessage(content, sender);
        else if constexpr (std::is_same_v<Content, ReservationReply>)
            receiveReservationReply(content);
        else if constexpr (std::is_same_v<Content, ServerCrashNotice>)
            m_engine.quarantine().recordCrash(content.crash);
        else if constexpr (std::is_same_v<Content, ClearedPartsNotice>)
            m_engine.quarantine().clear(content.cleared);
        else if constexpr (std::is_same_v<Content, ConfigurationNotice>)
            recordVersion(content.version, sender);
        else if constexpr (std::is_same_v<Content, RateLimitsNotice>)
            recordRateLimits(content.limits);
        else
            receiveCoordination(content, sender);
    },
        message);
}

void PeerLink::recordSender(std::string_view name)
{
    const auto found = m_members.find(name);
    if (found == m_members.end() || !std::exchange(found->second.isSilent, false))
        return;
    m_coordinators.clear();
    logEvent(Severity::Info, "member-heard-again", { { "member", name } });
}

void PeerLink::serverCrashed(const ServerCrash& crash)
{
    sendToAll(encodeServerCrashNotice({ m_ownName, crash }));
}

void PeerLink::partsCleared(const PromptFingerprint& cleared)
{
    sendToAll(encodeClearedPartsNotice({ m_ownName, cleared }));
}

void PeerLink::announceConfiguration(uint64_t version)
{
    sendToAll(encodeConfigurationNotice({ m_ownName, version }));
}

void PeerLink::recordVersion(uint64_t version, const udp::endpoint& sender)
{
    // An instance serves its copy of the store's keys on the TCP port of the same number.
    if (m_versionListener != nullptr && version != 0)
        m_versionListener->versionAnnounced({ sender.address(), sender.port() }, version);
}

void PeerLink::receiveReport(PeerReport report, const udp::endpoint& sender)
{
    recordVersion(report.configurationVersion, sender);
    recordRateLimits(report.rateLimits);
    for (const auto& prompt : report.quarantined)
        m_engine.quarantine().adopt(prompt);
    const auto changes = m_reportTable.apply(std::move(report), m_engine.clock().now());
    for (const auto server : changes.servers)
        updatePeerUsage(server);
    for (const auto hash : changes.servers) {
        if (const auto server = m_engine.servers().find(hash); server && m_waitList.first(hash) != nullptr)
            grantWaiting(*server);
    }
    m_engine.servers().recordPeerOutcomes(changes.outcomes);
}

void PeerLink::updatePeerUsage(uint64_t server)
{
    if (const auto listed = m_engine.servers().find(server)) {
        const auto usage = m_reportTable.totalUsage(server, m_engine.clock().now());
        listed->setReportedUsage(static_cast<int>(usage.inFlight), static_cast<int64_t>(usage.pendingPrefill));
    }
}

void PeerLink::receiveReservationMessage(const ReservationMessage& message, const udp::endpoint& sender)
{
    const auto now = m_engine.clock().now();
    const auto server = m_engine.servers().find(message.usage.server);
    const bool isApplied = m_reportTable.applyUsage(message, now);
    updatePeerUsage(message.usage.server);
    if (!server) {
        // A new server may not be listed at this instance yet. A reservation for it is granted, because the sender has
        // already checked the limits.
        if (message.isRequest)
            send(encodeReservationReply({ message.sequence, true, false, message.usage }), sender);
        return;
    }
    if (message.isRequest && isApplied)
        decideReservation(*server, message, sender);
    else
        grantWaiting(*server);
}

ServerUsage PeerLink::grantedUsage(const BackendServer& server) const
{
    const auto others = m_reportTable.totalUsage(server.hash(), m_engine.clock().now());
    const auto waiting = m_waitList.usage(server.hash());
    const auto requests = others.inFlight + static_cast<uint32_t>(server.ownInFlight());
    const auto tokens = others.pendingPrefill + static_cast<uint64_t>(std::max<int64_t>(0, server.ownPendingPrefill()));
    return { server.hash(), requests - std::min(requests, waiting.inFlight), tokens - std::min(tokens, waiting.pendingPrefill) };
}

bool PeerLink::canGrant(const BackendServer& server, const ServerUsage& usage, const ReservationLimits& limits) const
{
    const ReservationContext context { usage, m_engine.meanInFlight(server.description().service) };
    return server.isInService() && canGrantReservation(context, limits, m_engine.choiceLimits().capFactor);
}

RequestRate::Share PeerLink::rateShare(const BackendServer& server)
{
    return coordinator(server.hash()) == nullptr ? RequestRate::Share::Coordinator : RequestRate::Share::Other;
}

bool PeerLink::hasRate(BackendServer& server, uint64_t prefixTokens)
{
    const auto now = m_engine.clock().now();
    return !server.allowance().rateLimit(now) || server.allowance().hasRate(rateShare(server), prefixTokens, now);
}

void PeerLink::notifyRateLimit(const BackendServer& server)
{
    const auto& limit = server.allowance().rateLimitNotice();
    sendToAll(encodeRateLimitsNotice({ m_ownName, { { server.hash(), limit.perSecond, std::chrono::duration_cast<milliseconds>(m_engine.clock().now() - limit.observedAt) } } }));
}

void PeerLink::recordRateLimits(std::span<const RateLimitRow> limits)
{
    const auto now = m_engine.clock().now();
    for (const auto& limit : limits) {
        const auto server = m_engine.servers().find(limit.server);
        if (server && server->allowance().recordRateLimit({ limit.perSecond, now - limit.age, true }))
            logEvent(Severity::Info, "server-rate-limit-told", { { "server", server->description().id }, { "per_second", limit.perSecond } });
    }
}

void PeerLink::decideReservation(BackendServer& server, const ReservationMessage& message, const udp::endpoint& sender)
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
    m_pollEvent.notify();
}

void PeerLink::grantReservation(BackendServer& server, const ReservationMessage& message, const udp::endpoint& sender)
{
    server.allowance().takeRate(m_engine.clock().now());
    const bool isPrefixCached = message.prefix.hash != 0 && server.recordPrefix(message.prefix.hash);
    if (isPrefixCached)
        reduceUsage(message, { server.hash(), 0, message.prefix.tokens });
    replyTo(message, sender, { message.sequence, true, false, grantedUsage(server), isPrefixCached });
}

void PeerLink::denyReservation(const BackendServer& server, const ReservationMessage& message, const udp::endpoint& sender)
{
    reduceUsage(message, { server.hash(), 1, message.promptTokens });
    replyTo(message, sender, { message.sequence, false, false, grantedUsage(server) });
}

void PeerLink::reduceUsage(const ReservationMessage& message, const ServerUsage& part)
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

void PeerLink::replyTo(const ReservationMessage& message, const udp::endpoint& sender, const ReservationReply& reply)
{
    if (message.sender == m_ownName)
        receiveReservationReply(reply);
    else
        send(encodeReservationReply(reply), sender);
}

void PeerLink::grantWaiting(BackendServer& server)
{
    while (const auto* first = m_waitList.first(server.hash())) {
        if (!hasRate(server, first->message.prefix.tokens) || !canGrant(server, grantedUsage(server), first->message.limits))
            return;
        const auto granted = m_waitList.takeFirst(server.hash());
        grantReservation(server, granted.message, granted.sender);
    }
}

void PeerLink::grantDue()
{
    const auto now = m_engine.clock().now();
    for (const auto hash : m_waitList.servers()) {
        if (const auto server = m_engine.servers().find(hash); server && server->allowance().rateLimit(now))
            grantWaiting(*server);
    }
}

std::optional<TimePoint> PeerLink::nextRateGrant() const
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

void PeerLink::denyExpired()
{
    for (const auto& expired : m_waitList.takeExpired(m_engine.clock().now())) {
        if (const auto server = m_engine.servers().find(expired.message.usage.server))
            denyReservation(*server, expired.message, expired.sender);
    }
}

void PeerLink::receiveReservationReply(const ReservationReply& reply)
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

PeerLink::ListedMember* PeerLink::coordinator(uint64_t server)
{
    const auto now = m_engine.clock().now();
    std::vector<std::string_view> names;
    std::vector<ListedMember*> listed;
    for (auto& [name, member] : m_members) {
        if (now < member.excludedUntil || !m_reportTable.hasRecentReport(name, now) || !m_reportTable.acceptsCallers(name))
            continue;
        names.push_back(name);
        listed.push_back(&member);
    }
    if (m_acceptsCallers) {
        names.push_back(m_ownName);
        listed.push_back(nullptr);
    }
    const auto found = coordinatorOf(server, names);
    return found ? listed[*found] : nullptr;
}

void PeerLink::recordReplyResult(ListedMember& member, bool hasReplied)
{
    member.consecutiveTimeouts = hasReplied ? 0 : member.consecutiveTimeouts + 1;
    if (member.consecutiveTimeouts < timeoutsBeforeExclusion)
        return;
    member.consecutiveTimeouts = 0;
    member.excludedUntil = m_engine.clock().now() + exclusionTime;
    logEvent(Severity::Warning, "keeper-silent", { { "member", member.member.name } });
}

ReservationMessage PeerLink::usageMessage(const BackendServer& server)
{
    const auto inFlight = static_cast<uint32_t>(server.ownInFlight());
    const auto pendingPrefill = static_cast<uint64_t>(std::max<int64_t>(0, server.ownPendingPrefill()));
    return { m_ownName, m_incarnation, ++m_sequence, { server.hash(), inFlight, pendingPrefill } };
}

void PeerLink::send(std::span<const uint8_t> bytes, const udp::endpoint& to)
{
    // A failed send is handled like a lost datagram.
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, ignored);
}

asio::awaitable<ReservationResult> PeerLink::requestReservation(BackendServer& server, ReservationDemand demand)
{
    auto* found = coordinator(server.hash());
    auto message = usageMessage(server);
    message.isRequest = true;
    message.limits = demand.limits;
    message.prefix = demand.prefix;
    message.promptTokens = static_cast<uint64_t>(demand.promptTokens);
    message.priority = demand.priority;
    message.waitWithin = demand.waitWithin;
    const bool isOwn = found == nullptr || !m_socket.is_open();
    const auto name = isOwn ? m_ownName : found->member.name;
    AutoResetEvent signal(m_engine.executor());
    m_pendingRequests[message.sequence] = { &signal, {} };
    if (isOwn)
        decideReservation(server, message, {});
    else
        send(encodeReservationMessage(message), found->member.peerAddress);
    co_await signal.waitFor(replyTimeout);
    const auto& pending = m_pendingRequests.at(message.sequence);
    if (const auto member = m_members.find(name); member != m_members.end())
        recordReplyResult(member->second, pending.reply.has_value());
    if (pending.reply && pending.reply->isWaiting) {
        ++m_engine.counts().reservationWaits;
        co_await signal.waitFor(demand.waitWithin + replyTimeout);
    }
    const auto reply = m_pendingRequests.extract(message.sequence).mapped().reply;
    // The loads of a server that this instance coordinates are exact already.
    if (reply && !isOwn)
        applyStatedUsage(server, demand, *reply);
    co_return resultOf(server, demand, reply);
}

ReservationResult PeerLink::resultOf(BackendServer& server, const ReservationDemand& demand, const std::optional<ReservationReply>& reply)
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
    if (!reply) {
        const ServerUsage known { server.hash(), static_cast<uint32_t>(std::max(0, server.inFlight() - 1)), static_cast<uint64_t>(std::max<int64_t>(0, server.pendingPrefill() - demand.promptTokens)) };
        return { canGrant(server, known, demand.limits) ? ReservationOutcome::TimedOut : ReservationOutcome::Denied };
    }
    // The second reply was lost: the coordinator may count the request.
    if (reply->isWaiting)
        asio::post(m_engine.executor(), [this, hash = server.hash()] {
            if (const auto listed = m_engine.servers().find(hash))
                notifyUsageChanged(*listed);
        });
    return { outcome, reply->isPrefixCached };
}

void PeerLink::applyStatedUsage(BackendServer& server, const ReservationDemand& demand, const ReservationReply& reply)
{
    const int ownCounted = server.ownInFlight() - (reply.isGranted ? 0 : 1);
    const auto cachedTokens = static_cast<int64_t>(reply.isPrefixCached ? demand.prefix.tokens : 0);
    const int64_t ownTokens = server.ownPendingPrefill() - (reply.isGranted ? cachedTokens : demand.promptTokens);
    server.setStatedUsage(std::max(0, static_cast<int>(reply.usage.inFlight) - ownCounted), std::max<int64_t>(0, static_cast<int64_t>(reply.usage.pendingPrefill) - ownTokens));
}

void PeerLink::notifyUsageChanged(BackendServer& server)
{
    auto* found = coordinator(server.hash());
    if (found == nullptr)
        grantWaiting(server);
    else if (m_socket.is_open())
        send(encodeReservationMessage(usageMessage(server)), found->member.peerAddress);
}

std::unique_ptr<SlotTicket> PeerLink::requestSlot(SlotDemand demand, std::function<void()> onDecision)
{
    return m_coordination.requestSlot(std::move(demand), std::move(onDecision));
}

asio::awaitable<void> PeerLink::pollCoordination()
{
    while (m_socket.is_open()) {
        auto next = m_coordination.nextPoll();
        for (const auto due : { m_waitList.nextExpiry(), nextRateGrant() }) {
            if (due)
                next = next ? std::min(*next, *due) : *due;
        }
        if (next) {
            const auto delay = std::max(Duration::zero(), *next - m_engine.clock().now());
            co_await m_pollEvent.waitFor(delay);
        } else {
            co_await m_pollEvent.wait();
        }
        m_coordination.poll();
        grantDue();
        denyExpired();
    }
}

std::optional<std::string> PeerLink::rankCoordinators(std::string_view service) const
{
    const auto serviceHash = hashBytes(service);
    const auto rank = [&](std::string_view name, double capacity) { return std::tuple(capacity, hashPair(serviceHash, hashBytes(name))); };
    std::optional<std::string> best;
    auto bestRank = rank("", -1);
    const auto consider = [&](std::string_view name, double capacity) {
        if (const auto candidate = rank(name, capacity); candidate > bestRank) {
            best = name;
            bestRank = candidate;
        }
    };
    if (m_acceptsCallers)
        consider(m_ownName, m_ownCapacity);
    for (const auto& [name, listed] : m_members) {
        if (isUsable(name))
            consider(name, listed.member.linkCapacity);
    }
    return best;
}

std::optional<std::string> PeerLink::serviceCoordinator(std::string_view service) const
{
    const auto now = m_engine.clock().now();
    auto found = m_coordinators.find(service);
    if (found == m_coordinators.end())
        found = m_coordinators.emplace(service, KnownCoordinator()).first;
    if (now >= found->second.validUntil)
        found->second = { rankCoordinators(service), now + coordinatorLifetime };
    return found->second.name;
}

bool PeerLink::isUsable(std::string_view instance) const
{
    const auto found = m_members.find(instance);
    if (found == m_members.end() || found->second.isSilent)
        return false;
    // A listed member of which no report has arrived yet may be the coordinator: all instances rank the same list.
    return !m_reportTable.hasRecentReport(instance, m_engine.clock().now()) || m_reportTable.acceptsCallers(instance);
}

void PeerLink::recordSilence(std::string_view instance)
{
    if (const auto found = m_members.find(instance); found != m_members.end())
        found->second.isSilent = true;
    m_coordinators.clear();
}

template <typename Message>
void PeerLink::receiveCoordination(const Message& message, const udp::endpoint& sender)
{
    // An instance that the store does not list, or not any more, still gets its reply.
    m_currentSender = { message.sender, sender };
    m_coordination.receive(message);
    m_currentSender = {};
}

void PeerLink::sendTo(std::string_view instance, std::span<const uint8_t> bytes)
{
    if (!m_socket.is_open())
        return;
    const auto found = m_members.find(instance);
    if (found != m_members.end())
        send(bytes, found->second.member.peerAddress);
    else if (instance == m_currentSender.name)
        send(bytes, m_currentSender.endpoint);
}

void PeerLink::sendToAll(std::span<const uint8_t> bytes)
{
    if (!m_socket.is_open())
        return;
    for (const auto& [name, listed] : m_members)
        send(bytes, listed.member.peerAddress);
}

uint64_t PeerLink::failureDomainOf(std::string_view instance) const
{
    if (instance == m_ownName)
        return hashBytes(m_engine.failureDomain());
    const auto found = m_members.find(instance);
    return found == m_members.end() ? 0 : hashBytes(found->second.member.failureDomain);
}

std::vector<QueuedServer> PeerLink::serversOf(std::string_view service) const
{
    const auto now = m_engine.clock().now();
    const auto& health = m_engine.servers().health(std::string(service));
    const auto rateShare = serviceCoordinator(service) == m_ownName ? RequestRate::Share::Coordinator : RequestRate::Share::Other;
    std::vector<QueuedServer> servers;
    for (const auto& server : m_engine.servers().ofService(service)) {
        if (!server->isInService())
            continue;
        const double share = server->isEjected(now) ? 0 : health.share(server->hash());
        servers.push_back({ server->hash(), server->description().slots, share, server->isCold(now), hashBytes(server->description().failureDomain), !server->isEjected(now) && health.isProbeDue(server->hash(), now), server->allowance().rateLimit(now).value_or(0), rateShare });
    }
    return servers;
}

void PeerLink::recordGrant(uint64_t server)
{
    if (const auto found = m_engine.servers().find(server))
        m_engine.servers().recordSend(*found);
}

std::vector<uint64_t> PeerLink::ejectedServersOf(std::string_view service) const
{
    const auto now = m_engine.clock().now();
    std::vector<uint64_t> ejected;
    for (const auto& server : m_engine.servers().ofService(service)) {
        if (server->isInService() && server->isEjected(now))
            ejected.push_back(server->hash());
    }
    return ejected;
}

asio::awaitable<void> PeerLink::reportPeriodically()
{
    while (m_socket.is_open()) {
        sendReports();
        eraseDelistedMembers();
        applyPeerUsage();
        boost::system::error_code failure;
        m_timer.expires_after(reportInterval());
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    }
}

void PeerLink::sendReports()
{
    const auto now = m_engine.clock().now();
    PeerReport report { m_ownName, m_incarnation, ++m_sequence, m_acceptsCallers, {}, {} };
    for (const auto& [id, server] : m_engine.servers().all()) {
        if (server->ownInFlight() > 0)
            report.usages.push_back({ server->hash(), static_cast<uint32_t>(server->ownInFlight()), static_cast<uint64_t>(server->ownPendingPrefill()) });
        const auto& limit = server->allowance().rateLimitNotice();
        if (!limit.isTold && limit.observedAt != TimePoint() && now - limit.observedAt < reportInterval() * outcomeReportRepeats)
            report.rateLimits.push_back({ server->hash(), limit.perSecond, std::chrono::duration_cast<milliseconds>(now - limit.observedAt) });
        const auto& outcomes = server->outcomes();
        if (now - outcomes.changedAt < reportInterval() * outcomeReportRepeats)
            report.outcomes.push_back({ server->hash(), outcomes.answers, outcomes.failures });
    }
    report.quarantined = m_engine.quarantine().quarantined();
    report.configurationVersion = m_engine.configurationVersion();
    const auto bytes = encodePeerReport(report);
    for (const auto& [name, listed] : m_members)
        send(bytes, listed.member.peerAddress);
}

void PeerLink::applyPeerUsage()
{
    const auto now = m_engine.clock().now();
    if (const auto loadTime = m_reportTable.meanReceivedAt(now))
        m_engine.setLoadTimestamp(*loadTime);
    const auto usages = m_reportTable.usageByServer(now);
    for (const auto& [id, server] : m_engine.servers().all()) {
        const auto found = usages.find(server->hash());
        const auto usage = found == usages.end() ? ServerUsage() : found->second;
        server->setReportedUsage(static_cast<int>(usage.inFlight), static_cast<int64_t>(usage.pendingPrefill));
    }
}

}
