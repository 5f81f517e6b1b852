#include "PeerLink.h"

#include "../net/SpawnTask.h"

#include <borageslip_core/identity/Hash.h>
#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
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

}

PeerLink::PeerLink(TrafficEngine& engine, std::string ownName, double ownCapacity)
    : m_engine(engine)
    , m_ownName(std::move(ownName))
    , m_ownCapacity(ownCapacity)
    , m_incarnation(static_cast<uint64_t>(engine.clock().wallTime().time_since_epoch().count()))
    , m_socket(engine.executor())
    , m_timer(engine.executor())
    , m_reportTable(minReportLifetime)
    , m_memory(engine, *this, m_ownName)
    , m_pollEvent(engine.executor())
    , m_grants(engine, m_reportTable, m_memory, *this, m_ownName)
    , m_requests(engine, *this, m_grants, m_memory, m_ownName, m_incarnation)
    , m_coordination(engine.clock(), *this, m_ownName, m_incarnation, engine.choiceLimits().capFactor)
    , m_coldPermits(engine, *this, m_ownName)
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
    m_requests.forgetTimeouts(name);
    m_coordinators.clear();
    m_reportTable.setLifetime(std::max(minReportLifetime, reportInterval() * lostReportsBeforeExpiry));
    m_engine.setInstanceCount(m_members.size() + 1);
    m_memory.setFleet(m_members.size() + 1, std::max(minReportLifetime, reportInterval() * lostReportsBeforeExpiry));
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
    m_requests.forgetTimeouts(name);
    m_memory.removeInstance(name);
    m_members.erase(found);
    m_coordinators.clear();
    m_engine.setInstanceCount(m_members.size() + 1);
    m_memory.setFleet(m_members.size() + 1, std::max(minReportLifetime, reportInterval() * lostReportsBeforeExpiry));
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
            m_grants.receiveReservationMessage(content, sender);
        else if constexpr (std::is_same_v<Content, ReservationReply>)
            m_requests.receiveReservationReply(content);
        else if constexpr (std::is_same_v<Content, PrefillEndNotice>)
            m_grants.receivePrefillEnd(content);
        else if constexpr (std::is_same_v<Content, ServerCrashNotice>)
            m_engine.quarantine().recordCrash(content.crash);
        else if constexpr (std::is_same_v<Content, ClearedPartsNotice>)
            m_engine.quarantine().clear(content.cleared);
        else if constexpr (std::is_same_v<Content, ConfigurationNotice>)
            receiveConfigurationNotice(content, sender);
        else if constexpr (std::is_same_v<Content, RateLimitsNotice>)
            recordRateLimits(content.limits);
        else if constexpr (std::is_same_v<Content, ColdPermitRequest> || std::is_same_v<Content, ColdPermitReply> || std::is_same_v<Content, ColdServerNotice>)
            m_coldPermits.receive(content, sender);
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

void PeerLink::announceEvacuation(uint64_t revision)
{
    sendToAll(encodeConfigurationNotice({ m_ownName, m_engine.configurationVersion(), revision }));
}

void PeerLink::recordVersion(uint64_t version, const udp::endpoint& sender)
{
    // An instance serves its copy of the store's keys on the TCP port of the same number.
    if (m_versionListener != nullptr && version != 0)
        m_versionListener->versionAnnounced({ sender.address(), sender.port() }, version);
}

void PeerLink::receiveConfigurationNotice(const ConfigurationNotice& notice, const udp::endpoint& sender)
{
    recordVersion(notice.version, sender);
    if (m_versionListener != nullptr && notice.evacuationRevision != 0)
        m_versionListener->evacuationAnnounced({ sender.address(), sender.port() }, notice.evacuationRevision);
}

void PeerLink::receiveReport(PeerReport report, const udp::endpoint& sender)
{
    recordVersion(report.configurationVersion, sender);
    recordRateLimits(report.rateLimits);
    m_memory.receiveReport(report);
    m_engine.servers().recordPeerSlowness(report.slowness);
    for (const auto& prompt : report.quarantined)
        m_engine.quarantine().adopt(prompt);
    const auto changes = m_reportTable.apply(std::move(report), m_engine.clock().now());
    m_grants.applyReportedUsage(changes.servers);
    m_engine.servers().recordPeerOutcomes(changes.outcomes);
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

void PeerLink::notifyPrefillEnded(const BackendServer& server, uint64_t prefix, PrefillEnd end)
{
    m_requests.notifyPrefillEnded(server, prefix, end);
}

void PeerLink::send(std::span<const uint8_t> bytes, const udp::endpoint& to)
{
    // A failed send is handled like a lost datagram.
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, ignored);
}

std::vector<ReservationPeer> PeerLink::reservationPeers() const
{
    const auto now = m_engine.clock().now();
    std::vector<ReservationPeer> peers;
    for (const auto& [name, listed] : m_members) {
        if (m_reportTable.hasRecentReport(name, now) && m_reportTable.acceptsCallers(name))
            peers.push_back({ name, listed.member.peerAddress });
    }
    return peers;
}

asio::awaitable<ReservationResult> PeerLink::requestReservation(BackendServer& server, ReservationDemand demand)
{
    return m_requests.requestReservation(server, demand);
}

void PeerLink::notifyUsageChanged(BackendServer& server)
{
    m_requests.notifyUsageChanged(server);
}

void PeerLink::onEvacuationChanged()
{
    m_grants.denyEvacuated();
    m_requests.endWaitsForEvacuated();
}

std::unique_ptr<SlotTicket> PeerLink::requestSlot(SlotDemand demand, std::function<void()> onDecision)
{
    return m_coordination.requestSlot(std::move(demand), std::move(onDecision));
}

asio::awaitable<void> PeerLink::pollCoordination()
{
    while (m_socket.is_open()) {
        auto next = m_coordination.nextPoll();
        if (const auto due = m_grants.nextPoll())
            next = next ? std::min(*next, *due) : due;
        if (next) {
            const auto delay = std::max(Duration::zero(), *next - m_engine.clock().now());
            co_await m_pollEvent.waitFor(delay);
        } else {
            co_await m_pollEvent.wait();
        }
        m_coordination.poll();
        m_grants.poll();
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
    report.slowness = m_engine.servers().slownessSince(now - reportInterval());
    report.quarantined = m_engine.quarantine().quarantined();
    report.configurationVersion = m_engine.configurationVersion();
    report.memory = m_memory.reportRows();
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
