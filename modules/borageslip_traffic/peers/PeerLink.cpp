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

}

PeerLink::PeerLink(TrafficEngine& engine, std::string ownName)
    : m_engine(engine)
    , m_ownName(std::move(ownName))
    , m_incarnation(static_cast<uint64_t>(engine.clock().wallTime().time_since_epoch().count()))
    , m_socket(engine.executor())
    , m_timer(engine.executor())
    , m_board(shortestLifetime)
{
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
        auto report = decodePeerReport(std::span(datagram).first(count));
        if (!isOk(report)) {
            logEvent(Severity::Warning, "peer-report-invalid", { { "detail", error(report).detail } });
            continue;
        }
        const auto news = m_board.apply(value(std::move(report)), m_engine.clock().now());
        m_engine.servers().recordElsewhere(news);
    }
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
    for (const auto& [name, listed] : m_members) {
        // A datagram that cannot be sent is like a lost one: the next report replaces it.
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(bytes), listed.member.peerAddress, 0, ignored);
    }
}

void PeerLink::applyUses()
{
    const auto now = m_engine.clock().now();
    if (const auto trueAt = m_board.meanHeardAt(now))
        m_engine.recordLoadTime(*trueAt);
    const auto uses = m_board.uses(now);
    for (const auto& [id, server] : m_engine.servers().all()) {
        const auto found = uses.find(server->hash());
        const auto use = found == uses.end() ? ServerUse() : found->second;
        server->setPeersUse(static_cast<int>(use.inFlight), static_cast<int64_t>(use.pendingPrefill));
    }
}

}
