#include "ColdPermits.h"

#include <algorithm>

namespace borageslip {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

    using std::chrono::milliseconds;

    constexpr Duration replyTimeout = milliseconds(40); ///< Less than a third of the lifetime of a permit.
    constexpr int maxAskedHolders = 2; ///< For one request.
    constexpr Duration minDenialTime = milliseconds(20); ///< Doubled with each further denial, so that the datagrams of many instances stay few.
    constexpr int maxDoublings = 4;
    constexpr Duration denialJitter = milliseconds(40); ///< Spreads the requests of many instances.
    constexpr Duration silenceTime = milliseconds(500); ///< For which a holder that did not reply is not asked.
    constexpr milliseconds absenceTime { 1000 }; ///< Stated by an instance that holds no share.

}

ColdPermits::ColdPermits(TrafficEngine& engine, Transport& transport, std::string ownName)
    : m_engine(engine)
    , m_transport(transport)
    , m_ownName(std::move(ownName))
    , m_random(std::random_device {}())
    , m_sequence(m_random())
{
    m_engine.coldServers().setPermitSource(this);
}

ColdPermits::~ColdPermits()
{
    m_engine.coldServers().setPermitSource(nullptr);
}

Duration ColdPermits::jitter(Duration longest)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
}

void ColdPermits::setHolder(const ColdShareId& id, std::string name, const udp::endpoint& address)
{
    m_holders[id] = { std::move(name), address };
    m_denials.erase(id.service);
}

void ColdPermits::removeHolder(const ColdShareId& id)
{
    m_holders.erase(id);
}

std::optional<uint64_t> ColdPermits::issue(std::string_view service, std::span<const uint64_t> servers)
{
    const auto& rates = m_engine.coldServers().rates();
    const auto rate = rates.find(service);
    if (rate == rates.end())
        return std::nullopt;
    const auto issued = m_rights.issue(service, rate->second.shareCount, rate->second.interval, servers, m_engine.clock().now());
    if (issued)
        ++m_engine.counts().coldPermitsIssued;
    return issued;
}

std::optional<ColdShareId> ColdPermits::nextHolder(std::string_view service)
{
    const auto now = m_engine.clock().now();
    std::vector<const ColdShareId*> askable;
    for (const auto& [id, holder] : m_holders) {
        if (id.service == service && holder.name != m_ownName && now >= holder.askAgainAt)
            askable.push_back(&id);
    }
    if (askable.empty())
        return std::nullopt;
    return *askable[std::uniform_int_distribution<size_t>(0, askable.size() - 1)(m_random)];
}

bool ColdPermits::mayHavePermits(std::string_view service) const
{
    const auto now = m_engine.clock().now();
    const auto denials = m_denials.find(service);
    if (denials != m_denials.end() && now < denials->second.until)
        return false;
    return m_rights.heldCount(service, now) > 0 || std::any_of(m_holders.begin(), m_holders.end(), [&](const auto& row) { return row.first.service == service && row.second.name != m_ownName; });
}

asio::awaitable<std::optional<ColdPermit>> ColdPermits::requestPermit(std::string service, std::vector<uint64_t> servers)
{
    const auto now = m_engine.clock().now();
    if (const auto own = issue(service, servers))
        co_return ColdPermit { *own, now + coldPermitLifetime };
    if (!mayHavePermits(service))
        co_return std::nullopt;
    for (int asked = 0; asked < maxAskedHolders; ++asked) {
        const auto holder = nextHolder(service);
        if (!holder)
            break;
        const auto permit = co_await askHolder(*holder, servers);
        if (permit) {
            m_denials.erase(service);
            co_return permit;
        }
    }
    recordDenial(service);
    co_return std::nullopt;
}

void ColdPermits::recordDenial(const std::string& service)
{
    auto& denials = m_denials[service];
    const bool isHolder = m_rights.heldCount(service, m_engine.clock().now()) > 0;
    // The own share may permit the next request soon, without a datagram.
    denials.consecutive = isHolder ? 1 : std::min(denials.consecutive + 1, maxDoublings + 1);
    const auto pause = minDenialTime * (1 << (denials.consecutive - 1));
    denials.until = m_engine.clock().now() + pause + jitter(std::max<Duration>(pause, denialJitter));
}

asio::awaitable<std::optional<ColdPermit>> ColdPermits::askHolder(ColdShareId id, std::vector<uint64_t> servers)
{
    const auto sequence = ++m_sequence;
    const auto askedAt = m_engine.clock().now();
    AutoResetEvent signal(m_engine.executor());
    m_pending[sequence] = { &signal, {} };
    auto& holder = m_holders.at(id);
    // Further requests ask another holder in the meantime.
    holder.askAgainAt = askedAt + replyTimeout;
    m_transport.sendDatagram(encodeColdPermitRequest({ m_ownName, sequence, id.service, servers }), holder.address);
    co_await signal.waitFor(replyTimeout);
    const auto reply = m_pending.extract(sequence).mapped().reply;
    const auto now = m_engine.clock().now();
    const auto found = m_holders.find(id);
    auto outcome = ReservationOutcome::TimedOut;
    Duration pause = silenceTime;
    if (reply && reply->server != 0) {
        outcome = ReservationOutcome::Granted;
        pause = Duration::zero();
    } else if (reply) {
        outcome = ReservationOutcome::Denied;
        pause = reply->nextIn + jitter(denialJitter);
    }
    ++m_engine.counts().coldPermitRequests.at(static_cast<size_t>(outcome));
    if (found != m_holders.end())
        found->second.askAgainAt = now + pause;
    const bool isRequested = reply && std::find(servers.begin(), servers.end(), reply->server) != servers.end();
    if (!isRequested)
        co_return std::nullopt;
    co_return ColdPermit { reply->server, askedAt + coldPermitLifetime };
}

void ColdPermits::receive(const ColdPermitRequest& request, const udp::endpoint& sender)
{
    const auto now = m_engine.clock().now();
    ColdPermitReply reply { m_ownName, request.sequence };
    if (const auto issued = issue(request.service, request.servers)) {
        reply.server = *issued;
    } else {
        const auto& rates = m_engine.coldServers().rates();
        const auto rate = rates.find(request.service);
        const auto next = rate == rates.end() ? std::nullopt : m_rights.nextIssue(request.service, rate->second.shareCount, rate->second.interval, request.servers, now);
        reply.nextIn = next ? std::chrono::ceil<milliseconds>(std::max(Duration::zero(), *next - now)) : absenceTime;
    }
    m_transport.sendDatagram(encodeColdPermitReply(reply), sender);
}

void ColdPermits::receive(const ColdPermitReply& reply, const udp::endpoint&)
{
    const auto found = m_pending.find(reply.sequence);
    if (found == m_pending.end())
        return;
    found->second.reply = reply;
    found->second.signal->notify();
}

void ColdPermits::receive(const ColdServerNotice& notice, const udp::endpoint&)
{
    m_engine.coldServers().recordAnnouncement(notice.server, notice.left);
}

void ColdPermits::announceCold(uint64_t server, milliseconds left)
{
    m_transport.sendDatagramToAll(encodeColdServerNotice({ m_ownName, server, left }));
}

}
