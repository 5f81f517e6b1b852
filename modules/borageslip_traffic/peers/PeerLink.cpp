#include "PeerLink.h"

#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace borageslip {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

    using std::chrono::milliseconds;

    constexpr Duration shortestInterval = milliseconds(100);
    constexpr Duration intervalPerMember = milliseconds(12);
    constexpr int lostReportsBeforeSilent = 8;
    constexpr int repeatedReports = 4; ///< In which a server's outcomes stand after a change, since datagrams get lost.
    constexpr Duration shortestLifetime = milliseconds(1200);
    constexpr size_t maxDatagram = 8 * 1024;
    constexpr Duration placeAnswerLimit = milliseconds(40); ///< A small part of the shortest latency objective.
    constexpr int unansweredBeforeSilent = 2; ///< A single one may be a lost datagram.
    constexpr Duration silence = std::chrono::seconds(2);

}

PeerLink::PeerLink(TrafficEngine& engine, std::string ownName)
    : m_engine(engine)
    , m_ownName(std::move(ownName))
    , m_incarnation(static_cast<uint64_t>(engine.clock().wallTime().time_since_epoch().count()))
    , m_socket(engine.executor())
    , m_timer(engine.executor())
    , m_board(shortestLifetime)
{
    m_engine.setReservationBroker(this);
}

PeerLink::~PeerLink()
{
    m_engine.setReservationBroker(nullptr);
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
        return Error { ErrorKind::InvalidSettings, "cannot use the address for peers: " + failure.message() };
    asio::co_spawn(
        m_engine.executor(), [this] { return receiveAll(); }, asio::detached);
    asio::co_spawn(
        m_engine.executor(), [this] { return reportPeriodically(); }, asio::detached);
    return ok();
}

Duration PeerLink::interval() const
{
    return std::max<Duration>(shortestInterval, intervalPerMember * m_members.size());
}

void PeerLink::setMember(Member member)
{
    if (member.name == m_ownName)
        return;
    const auto found = m_members.find(member.name);
    if (found != m_members.end() && found->second.member == member)
        return;
    logEvent(Severity::Info, "member-listed", { { "member", member.name } });
    const auto name = member.name;
    m_members[name] = { std::move(member), m_engine.clock().now() };
    m_board.setLifetime(std::max(shortestLifetime, interval() * lostReportsBeforeSilent));
    m_engine.setInstanceCount(m_members.size() + 1);
}

void PeerLink::removeMember(std::string_view name)
{
    const auto found = m_members.find(name);
    if (found == m_members.end())
        return;
    logEvent(Severity::Info, "member-removed", { { "member", name } });
    m_members.erase(found);
    m_engine.setInstanceCount(m_members.size() + 1);
}

void PeerLink::setTakesCallers(bool takesCallers)
{
    if (m_takesCallers == takesCallers)
        return;
    m_takesCallers = takesCallers;
    logEvent(Severity::Info, "takes-callers", { { "value", takesCallers } });
    if (m_socket.is_open())
        sendReports();
}

std::vector<asio::ip::tcp::endpoint> PeerLink::callerAddresses() const
{
    const auto now = m_engine.clock().now();
    const bool isAlone = m_board.heardCount(now) == 0;
    std::vector<asio::ip::tcp::endpoint> addresses;
    for (const auto& [name, listed] : m_members) {
        const bool isNew = now - listed.listedAt < shortestLifetime;
        const bool isUsable = m_board.isHeard(name, now) ? m_board.takesCallers(name) : (isAlone || isNew);
        if (isUsable)
            addresses.push_back(listed.member.callerAddress);
    }
    return addresses;
}

std::vector<std::optional<asio::ip::tcp::endpoint>> PeerLink::storeSources(const Member& own) const
{
    const auto now = m_engine.clock().now();
    std::vector<ReaderCandidate> others;
    std::vector<asio::ip::tcp::endpoint> addresses;
    for (const auto& [name, listed] : m_members) {
        if (!m_board.isHeard(name, now) || !m_board.takesCallers(name))
            continue;
        others.push_back({ name, listed.member.failureDomain, listed.member.linkCapacity });
        addresses.emplace_back(listed.member.peerAddress.address(), listed.member.peerAddress.port());
    }
    std::vector<std::optional<asio::ip::tcp::endpoint>> sources;
    for (const auto& source : sourcesFor({ own.name, own.failureDomain, own.linkCapacity }, others))
        sources.push_back(source ? std::optional(addresses[*source]) : std::nullopt);
    return sources;
}

asio::awaitable<void> PeerLink::receiveAll()
{
    std::vector<uint8_t> datagram(maxDatagram);
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
    if (auto* report = std::get_if<PeerReport>(&message))
        receiveReport(std::move(*report));
    else if (const auto* request = std::get_if<PlaceMessage>(&message))
        receivePlaceMessage(*request, sender);
    else
        receivePlaceAnswer(std::get<PlaceAnswer>(message));
}

void PeerLink::receiveReport(PeerReport report)
{
    const auto changes = m_board.apply(std::move(report), m_engine.clock().now());
    for (const auto server : changes.servers)
        updatePeersUse(server);
    m_engine.servers().recordElsewhere(changes.outcomes);
}

void PeerLink::updatePeersUse(uint64_t server)
{
    if (const auto listed = m_engine.servers().find(server)) {
        const auto use = m_board.useOf(server, m_engine.clock().now());
        listed->setPeersUse(static_cast<int>(use.inFlight), static_cast<int64_t>(use.pendingPrefill));
    }
}

void PeerLink::receivePlaceMessage(const PlaceMessage& message, const udp::endpoint& sender)
{
    const auto now = m_engine.clock().now();
    const auto server = m_engine.servers().find(message.use.server);
    if (!message.isRequest || !server) {
        // The list of this instance may be behind: an unknown server is judged by the sender.
        m_board.applyUse(message, now);
        updatePeersUse(message.use.server);
        if (message.isRequest)
            send(encodePlaceAnswer({ message.sequence, true, message.use }), sender);
        return;
    }
    auto withoutPlace = message;
    withoutPlace.use.inFlight -= std::min(withoutPlace.use.inFlight, 1u);
    withoutPlace.use.pendingPrefill = std::min(message.use.pendingPrefill, m_board.useBy(message.sender, message.use.server).pendingPrefill);
    if (!m_board.applyUse(withoutPlace, now))
        return;
    updatePeersUse(message.use.server);
    const KeptServer kept { { message.use.server, static_cast<uint32_t>(server->inFlight()), static_cast<uint64_t>(server->pendingPrefill()) }, m_engine.meanInFlight(server->description().service) };
    const bool isGranted = server->isInService() && mayGrantPlace(kept, message.terms, m_engine.choiceLimits().capFactor);
    if (isGranted)
        m_board.setUse(message.sender, message.use);
    updatePeersUse(message.use.server);
    send(encodePlaceAnswer({ message.sequence, isGranted, { message.use.server, static_cast<uint32_t>(server->inFlight()), static_cast<uint64_t>(server->pendingPrefill()) } }), sender);
}

void PeerLink::receivePlaceAnswer(const PlaceAnswer& answer)
{
    const auto found = m_pendingRequests.find(answer.sequence);
    if (found == m_pendingRequests.end())
        return;
    found->second.answer = answer;
    found->second.signal->notify();
}

PeerLink::ListedMember* PeerLink::keeper(uint64_t server)
{
    const auto now = m_engine.clock().now();
    std::vector<std::string_view> names;
    std::vector<ListedMember*> listed;
    for (auto& [name, member] : m_members) {
        if (now < member.silentUntil || !m_board.isHeard(name, now) || !m_board.takesCallers(name))
            continue;
        names.push_back(name);
        listed.push_back(&member);
    }
    if (m_takesCallers) {
        names.push_back(m_ownName);
        listed.push_back(nullptr);
    }
    const auto found = keeperOf(server, names);
    return found ? listed[*found] : nullptr;
}

void PeerLink::noteAnswered(ListedMember& member, bool isAnswered)
{
    member.unanswered = isAnswered ? 0 : member.unanswered + 1;
    if (member.unanswered < unansweredBeforeSilent)
        return;
    member.unanswered = 0;
    member.silentUntil = m_engine.clock().now() + silence;
    logEvent(Severity::Warning, "keeper-silent", { { "member", member.member.name } });
}

PlaceMessage PeerLink::placeMessage(const BackendServer& server)
{
    const auto inFlight = static_cast<uint32_t>(server.ownInFlight());
    const auto pendingPrefill = static_cast<uint64_t>(std::max<int64_t>(0, server.ownPendingPrefill()));
    return { m_ownName, m_incarnation, ++m_sequence, { server.hash(), inFlight, pendingPrefill } };
}

void PeerLink::send(std::span<const uint8_t> bytes, const udp::endpoint& to)
{
    // A datagram that cannot be sent is like a lost one.
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, ignored);
}

asio::awaitable<PlaceOutcome> PeerLink::requestPlace(BackendServer& server, PlaceTerms terms)
{
    auto* found = keeper(server.hash());
    if (found == nullptr || !m_socket.is_open())
        co_return PlaceOutcome::Granted;
    auto message = placeMessage(server);
    message.isRequest = true;
    message.terms = terms;
    const auto name = found->member.name;
    AutoResetEvent signal(m_engine.executor());
    m_pendingRequests[message.sequence] = { &signal, {} };
    send(encodePlaceMessage(message), found->member.peerAddress);
    co_await signal.waitFor(placeAnswerLimit);
    const auto answer = m_pendingRequests.extract(message.sequence).mapped().answer;
    if (const auto member = m_members.find(name); member != m_members.end())
        noteAnswered(member->second, answer.has_value());
    const auto outcome = !answer ? PlaceOutcome::Unanswered : answer->isGranted ? PlaceOutcome::Granted
                                                                                : PlaceOutcome::Denied;
    ++m_engine.counts().reservationRequests.at(static_cast<size_t>(outcome));
    // The answer is newer than the reports.
    if (answer) {
        const int ownCounted = server.ownInFlight() - (answer->isGranted ? 0 : 1);
        const int64_t ownTokens = server.ownPendingPrefill();
        server.setPeersUse(std::max(0, static_cast<int>(answer->use.inFlight) - ownCounted), std::max<int64_t>(0, static_cast<int64_t>(answer->use.pendingPrefill) - ownTokens));
    }
    co_return outcome;
}

void PeerLink::useChanged(const BackendServer& server)
{
    auto* found = keeper(server.hash());
    if (found != nullptr && m_socket.is_open())
        send(encodePlaceMessage(placeMessage(server)), found->member.peerAddress);
}

asio::awaitable<void> PeerLink::reportPeriodically()
{
    while (m_socket.is_open()) {
        sendReports();
        applyUses();
        boost::system::error_code failure;
        m_timer.expires_after(interval());
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    }
}

void PeerLink::sendReports()
{
    const auto now = m_engine.clock().now();
    PeerReport report { m_ownName, m_incarnation, ++m_sequence, m_takesCallers, {}, {} };
    for (const auto& [id, server] : m_engine.servers().all()) {
        if (server->ownInFlight() > 0)
            report.uses.push_back({ server->hash(), static_cast<uint32_t>(server->ownInFlight()), static_cast<uint64_t>(server->ownPendingPrefill()) });
        const auto& outcomes = server->outcomes();
        if (now - outcomes.changedAt < interval() * repeatedReports)
            report.outcomes.push_back({ server->hash(), outcomes.answers, outcomes.failures });
    }
    const auto bytes = encodePeerReport(report);
    for (const auto& [name, listed] : m_members)
        send(bytes, listed.member.peerAddress);
}

void PeerLink::applyUses()
{
    const auto now = m_engine.clock().now();
    if (const auto trueAt = m_board.meanHeardAt(now))
        m_engine.setLoadTimestamp(*trueAt);
    const auto uses = m_board.uses(now);
    for (const auto& [id, server] : m_engine.servers().all()) {
        const auto found = uses.find(server->hash());
        const auto use = found == uses.end() ? ServerUse() : found->second;
        server->setPeersUse(static_cast<int>(use.inFlight), static_cast<int64_t>(use.pendingPrefill));
    }
}

}
