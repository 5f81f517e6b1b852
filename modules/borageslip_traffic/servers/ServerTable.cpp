#include "ServerTable.h"

#include <borageslip_core/logging/Log.h>

#include <algorithm>

namespace borageslip {

namespace {

    constexpr Duration removedLifetime = std::chrono::minutes(10); ///< For which a removed server is remembered.
    constexpr Duration lastEntryLifetime = std::chrono::minutes(1); ///< For which the entry of a removed server is remembered; copies of the store are seconds old.

}

ServerTable::ServerTable(const Clock& clock, boost::asio::any_io_executor executor)
    : m_clock(clock)
    , m_executor(std::move(executor))
{
}

void ServerTable::apply(ServerDescription description)
{
    m_removalTimes.erase(description.id);
    m_heldEntries.erase(description.id);
    const auto found = m_servers.find(description.id);
    if (found == m_servers.end()) {
        add(std::move(description));
        return;
    }
    const auto& known = found->second->description();
    const bool isSameIncarnation = known.startedAtMs == description.startedAtMs && known.address == description.address && known.service == description.service;
    if (isSameIncarnation) {
        found->second->update(std::move(description));
        found->second->setEvacuated(isEvacuated(found->second->description()));
        return;
    }
    if (m_restartHandler && known.startedAtMs != description.startedAtMs)
        m_restartHandler(*found->second);
    remove(description.id);
    add(std::move(description));
}

void ServerTable::add(ServerDescription description)
{
    logEvent(Severity::Info, "server-added", { { "server", description.id }, { "service", description.service }, { "draining", description.isDraining } });
    auto server = std::make_shared<BackendServer>(std::move(description), m_clock, m_executor);
    if (const auto removed = m_removed.find(server->description().id); removed != m_removed.end()) {
        server->inherit(*removed->second.server);
        m_removed.erase(removed);
    }
    server->setEvacuated(isEvacuated(server->description()));
    if (m_listingHandler)
        m_listingHandler(*server);
    m_servers.emplace(server->description().id, server);
    m_health[server->description().service].add(server->hash());
    m_byHash.insert_or_assign(server->hash(), server);
    m_byService[server->description().service].push_back(std::move(server));
}

bool ServerTable::isEvacuated(const ServerDescription& description) const
{
    return m_evacuations != nullptr && m_evacuations->contains(description.failureDomain);
}

std::vector<BackendServerPtr> ServerTable::applyEvacuations()
{
    std::vector<BackendServerPtr> returned;
    for (const auto& [id, server] : m_servers) {
        const bool wasEvacuated = server->isEvacuated();
        const bool isNow = isEvacuated(server->description());
        if (wasEvacuated != isNow)
            server->setEvacuated(isNow);
        if (wasEvacuated && !isNow)
            returned.push_back(server);
    }
    return returned;
}

void ServerTable::remove(std::string_view id)
{
    m_heldEntries.erase(std::string(id));
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    const auto server = found->second;
    logEvent(Severity::Info, "server-removed", { { "server", id } });
    m_removalTimes.erase(std::string(id));
    m_lastEntries.insert_or_assign(std::string(id), LastEntry { versionOf(server->description()), m_clock.now() });
    server->remove();
    rememberRemoved(server);
    m_health[server->description().service].remove(server->hash());
    m_byHash.erase(server->hash());
    std::erase(m_byService[server->description().service], server);
    m_servers.erase(found);
}

void ServerTable::rememberRemoved(const BackendServerPtr& server)
{
    const auto now = m_clock.now();
    const auto& id = server->description().id;
    if (const auto earlier = m_removed.find(id); earlier != m_removed.end()) {
        const bool isOlderIncarnation = server->description().startedAtMs < earlier->second.server->description().startedAtMs;
        if (isOlderIncarnation)
            return;
        server->inherit(*earlier->second.server);
    }
    if (server->allowance().isLeaving() || server->allowance().isPaused(now) || server->allowance().rateLimit(now))
        m_removed.insert_or_assign(id, RemovedServer { server, now });
}

void ServerTable::shareNotices(const BackendServerPtr& server)
{
    if (!server->isRemoved())
        return;
    if (const auto listed = m_servers.find(server->description().id); listed != m_servers.end())
        listed->second->inherit(*server);
    else
        rememberRemoved(server);
}

void ServerTable::scheduleRemoval(std::string_view id)
{
    m_heldEntries.erase(std::string(id));
    if (m_servers.find(id) == m_servers.end())
        return;
    const bool isNew = m_removalTimes.try_emplace(std::string(id), m_clock.now() + removalGracePeriod).second;
    if (isNew)
        logEvent(Severity::Info, "server-removal-delayed", { { "server", id } });
}

EntryVersion ServerTable::versionOf(const ServerDescription& description)
{
    return { description.startedAtMs, description.sequence, description.isDraining };
}

std::optional<EntryVersion> ServerTable::knownVersion(const std::string& id) const
{
    if (const auto listed = m_servers.find(id); listed != m_servers.end())
        return versionOf(listed->second->description());
    if (const auto removed = m_lastEntries.find(id); removed != m_lastEntries.end())
        return removed->second.version;
    return std::nullopt;
}

void ServerTable::applyRestored(ServerDescription description)
{
    const auto known = knownVersion(description.id);
    const auto version = versionOf(description);
    // A removed server whose last entry comes back has not written it again.
    const bool isListed = m_servers.contains(description.id);
    const bool isOlder = known && (isListed ? isOlderEntry(version, *known) : !isOlderEntry(*known, version));
    if (!isOlder) {
        apply(std::move(description));
        return;
    }
    logEvent(Severity::Info, "server-entry-held", { { "server", description.id }, { "sequence", description.sequence }, { "known_sequence", known->sequence } });
    m_removalTimes.erase(description.id);
    const auto id = description.id;
    m_heldEntries.insert_or_assign(id, HeldEntry { std::move(description), m_clock.now() + removalGracePeriod });
}

void ServerTable::applyHeld()
{
    const auto now = m_clock.now();
    std::vector<ServerDescription> due;
    for (const auto& [id, held] : m_heldEntries) {
        if (now >= held.appliesAt)
            due.push_back(held.description);
    }
    for (auto& description : due) {
        // The return of an earlier run is not a new start, which would count as a crash.
        if (const auto listed = m_servers.find(description.id); listed != m_servers.end() && description.startedAtMs < listed->second->description().startedAtMs)
            remove(description.id);
        apply(std::move(description));
    }
}

void ServerTable::restartGracePeriods()
{
    const auto until = m_clock.now() + removalGracePeriod;
    for (auto& [id, removalTime] : m_removalTimes)
        removalTime = until;
    for (auto& [id, held] : m_heldEntries)
        held.appliesAt = until;
}

void ServerTable::removeExpired()
{
    const auto now = m_clock.now();
    std::vector<std::string> expired;
    for (const auto& [id, until] : m_removalTimes) {
        if (now >= until)
            expired.push_back(id);
    }
    for (const auto& id : expired)
        remove(id);
}

std::span<const BackendServerPtr> ServerTable::ofService(std::string_view service) const
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? std::span<const BackendServerPtr>() : std::span<const BackendServerPtr>(found->second);
}

BackendServerPtr ServerTable::find(uint64_t hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? nullptr : found->second;
}

void ServerTable::recordSend(const BackendServer& server)
{
    health(server.description().service).recordSend(server.hash(), m_clock.now());
}

void ServerTable::recordAnswer(BackendServer& server, TimePoint sentAt)
{
    const auto now = m_clock.now();
    server.countAnswer();
    health(server.description().service).recordAnswer(server.hash(), now - sentAt, sentAt, now);
}

void ServerTable::recordFailure(BackendServer& server, TimePoint sentAt)
{
    server.countFailure();
    health(server.description().service).recordFailure(server.hash(), sentAt, m_clock.now());
}

void ServerTable::recordPeerOutcomes(std::span<const ServerOutcomes> outcomes)
{
    for (const auto& row : outcomes) {
        if (const auto found = m_byHash.find(row.server); found != m_byHash.end())
            health(found->second->description().service).recordPeerOutcomes(row.server, row.answers, row.failures, m_clock.now());
    }
}

bool ServerTable::recordSlowness(BackendServer& server, int percent)
{
    return server.slowness().recordOwn({ percent, m_clock.now() });
}

void ServerTable::recordPeerSlowness(std::span<const SlownessRow> statements)
{
    for (const auto& row : statements) {
        if (const auto found = m_byHash.find(row.server); found != m_byHash.end())
            found->second->slowness().recordShared({ row.percent, m_clock.now() - row.age });
    }
}

std::vector<SlownessRow> ServerTable::slownessSince(TimePoint since) const
{
    std::vector<SlownessRow> rows;
    for (const auto& [id, server] : m_servers) {
        const auto& last = server->slowness().lastOwn();
        if (last.observedAt != TimePoint() && last.observedAt > since)
            rows.push_back({ server->hash(), last.percent, std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - last.observedAt) });
    }
    return rows;
}

bool ServerTable::statesSlowness(std::string_view service) const
{
    const auto now = m_clock.now();
    const auto servers = ofService(service);
    return std::any_of(servers.begin(), servers.end(), [now](const auto& server) { return server->slowness().isKnown(now); });
}

double ServerTable::capacityShare(const BackendServer& server) const
{
    const auto now = m_clock.now();
    std::vector<double> factors { server.slowness().factor(now) };
    for (const auto& other : ofService(server.description().service)) {
        if (other->isInService() && other->hash() != server.hash())
            factors.push_back(other->slowness().factor(now));
    }
    return capacityShares(factors).front();
}

void ServerTable::logSlownessChanges()
{
    for (const auto& [service, servers] : m_byService) {
        const bool isStated = statesSlowness(service);
        const bool wasStated = m_statingServices.contains(service);
        if (isStated == wasStated)
            continue;
        if (isStated)
            m_statingServices.insert(service);
        else
            m_statingServices.erase(service);
        logEvent(Severity::Info, "service-speeds", { { "service", service }, { "stated", isStated } });
    }
}

void ServerTable::evaluateHealth()
{
    for (auto& [service, health] : m_health) {
        for (const auto& change : health.evaluate(m_clock.now())) {
            const auto& servers = m_byService[service];
            const auto found = std::find_if(servers.begin(), servers.end(), [&](const auto& server) { return server->hash() == change.engine; });
            if (found != servers.end())
                logEvent(Severity::Warning, "server-share", { { "server", (*found)->description().id }, { "service", service }, { "share", change.weight } });
        }
    }
}

void ServerTable::forgetRemoved()
{
    const auto now = m_clock.now();
    std::erase_if(m_removed, [&](const auto& entry) { return now - entry.second.removedAt >= removedLifetime; });
    std::erase_if(m_lastEntries, [&](const auto& entry) { return now - entry.second.removedAt >= lastEntryLifetime; });
}

void ServerTable::maintain()
{
    removeExpired();
    applyHeld();
    forgetRemoved();
    evaluateHealth();
    logSlownessChanges();
    for (const auto& [id, server] : m_servers)
        server->pool().closeStale();
}

}
