#include "ColdServers.h"

#include <borageslip_core/logging/Log.h>

#include <algorithm>

namespace borageslip {

ColdServers::ColdServers(const Clock& clock, ServerTable& servers, TrafficCounts& counts, ColdBoundSettings settings)
    : m_clock(clock)
    , m_servers(servers)
    , m_counts(counts)
    , m_settings(settings)
{
    m_servers.setListingHandler([this](BackendServer& server) { serverListed(server); });
}

void ColdServers::setConfiguration(const TrafficConfiguration& configuration)
{
    m_rates.clear();
    m_coldTimes.clear();
    for (const auto& [name, service] : configuration.services()) {
        if (service.coldRequestsPerSecond <= 0)
            continue;
        m_rates[name] = coldShareRate({ service.coldRequestsPerSecond, m_settings.overage, m_settings.slack });
        m_coldTimes[name] = service.coldStart;
    }
}

void ColdServers::serverListed(BackendServer& server)
{
    // One that is listed again with the same start may have been cold, or have crashed, before it was removed.
    if (!m_isListComplete || !hasLimit(server))
        return;
    server.assumeColdFor(coldTime(server));
    logCold(server, "started");
}

BackendServer& ColdServers::listed(BackendServer& server) const
{
    const auto found = m_servers.find(server.hash());
    return found ? *found : server;
}

std::chrono::milliseconds ColdServers::coldTime(const BackendServer& server) const
{
    const auto found = m_coldTimes.find(server.description().service);
    return found == m_coldTimes.end() ? std::chrono::milliseconds(0) : found->second;
}

void ColdServers::logCold(const BackendServer& server, std::string_view reason) const
{
    logEvent(Severity::Info, "server-cold", { { "server", server.description().id }, { "reason", reason }, { "left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(server.coldState().timeLeft(m_clock.now())).count() } });
}

bool ColdServers::isLimited(const BackendServer& server) const
{
    return hasLimit(server) && server.isCold(m_clock.now());
}

bool ColdServers::maySend(const BackendServer& server, const std::optional<ColdPermit>& permit)
{
    if (!isLimited(server))
        return true;
    if (permit && permit->allows(server.hash(), m_clock.now()))
        return true;
    ++m_counts.coldSendsWithheld;
    logEvent(Severity::Info, "cold-send-withheld", { { "server", server.description().id }, { "reason", permit ? "the permit has expired" : "the server has become cold" } });
    return false;
}

std::vector<uint64_t> ColdServers::limitedServers(std::string_view service) const
{
    const auto now = m_clock.now();
    std::vector<uint64_t> limited;
    if (!m_rates.contains(service))
        return limited;
    for (const auto& server : m_servers.ofService(service)) {
        if (server->isCold(now))
            limited.push_back(server->hash());
    }
    return limited;
}

boost::asio::awaitable<std::optional<ColdPermit>> ColdServers::requestPermit(const BackendServer& server)
{
    if (m_source == nullptr)
        co_return std::nullopt;
    std::vector<uint64_t> servers(1, server.hash());
    co_return co_await m_source->requestPermit(server.description().service, std::move(servers));
}

boost::asio::awaitable<std::optional<ColdPermit>> ColdServers::requestPermit(const BackendServer& first, std::span<const uint64_t> excluded)
{
    if (m_source == nullptr)
        co_return std::nullopt;
    const auto now = m_clock.now();
    std::vector<std::pair<int, uint64_t>> others;
    for (const auto& server : m_servers.ofService(first.description().service)) {
        const bool isExcluded = server->hash() == first.hash() || std::find(excluded.begin(), excluded.end(), server->hash()) != excluded.end();
        const int slots = server->description().slots;
        if (!isExcluded && server->acceptsRequests() && server->isCold(now) && !server->isEjected(now) && (slots == 0 || server->inFlight() < slots))
            others.emplace_back(server->inFlight(), server->hash());
    }
    std::sort(others.begin(), others.end());
    std::vector<uint64_t> servers(1, first.hash());
    for (const auto& [load, hash] : others) {
        if (servers.size() < maxRequestedServers)
            servers.push_back(hash);
    }
    co_return co_await m_source->requestPermit(first.description().service, std::move(servers));
}

void ColdServers::recordUnreachable(BackendServer& reached)
{
    auto& server = listed(reached);
    if (!hasLimit(server))
        return;
    const bool isNew = !server.coldState().isSuspected();
    server.coldState().recordUnreachable(m_clock.now());
    if (!isNew)
        return;
    logCold(server, "unreachable");
    if (m_source != nullptr)
        m_source->announceCold(server.hash(), std::chrono::milliseconds(0));
}

void ColdServers::recordResponse(BackendServer& responding, std::optional<std::chrono::milliseconds> stated, TimePoint sentAt)
{
    auto& server = listed(responding);
    if (!hasLimit(server))
        return;
    const auto now = m_clock.now();
    const bool wasCold = server.isCold(now);
    if (stated)
        server.coldState().recordStatement(*stated, sentAt, now);
    else
        server.coldState().recordAnswer(coldTime(server), sentAt, now);
    if (wasCold || !server.isCold(now))
        return;
    logCold(server, "stated");
    if (m_source != nullptr)
        m_source->announceCold(server.hash(), std::chrono::duration_cast<std::chrono::milliseconds>(server.coldState().timeLeft(now)));
}

void ColdServers::recordAnnouncement(uint64_t hash, std::chrono::milliseconds left)
{
    const auto server = m_servers.find(hash);
    if (!server || !hasLimit(*server))
        return;
    const auto now = m_clock.now();
    const bool wasCold = server->isCold(now);
    if (left.count() == 0)
        server->coldState().recordUnreachable(now);
    else
        server->assumeColdFor(left);
    if (!wasCold)
        logCold(*server, "told");
}

size_t ColdServers::limitedCount() const
{
    const auto& servers = m_servers.all();
    return static_cast<size_t>(std::count_if(servers.begin(), servers.end(), [this](const auto& row) { return isLimited(*row.second); }));
}

}
