#include "MemoryCoordination.h"

#include "../engine/TrafficEngine.h"
#include <borageslip_scheduling/placement/ReservationCoordinator.h>

#include <borageslip_core/logging/Log.h>

#include <array>

namespace borageslip {

namespace {

    constexpr std::array decisionNames { "fits", "full", "unsettled" };
    static_assert(decisionNames.size() == memoryDecisionCount);

    constexpr size_t maxReportedPrefixes = 400; ///< Bounds the size of a datagram.

    MessageOrder orderOf(const auto& message)
    {
        return { message.incarnation, message.sequence };
    }

    RequestMemory requestOf(const ReservationMessage& message)
    {
        return message.memory ? message.memory->request : RequestMemory();
    }

    /** The usage without its prefixes, whose tokens are counted as if no other instance used them. */
    MemoryUsage withoutPrefixes(MemoryUsage usage)
    {
        for (const auto& prefix : usage.prefixes)
            usage.ownTokens += prefix.tokens;
        usage.prefixes.clear();
        return usage;
    }

}

bool MemoryCoordination::isGuarded(const BackendServer& server) const
{
    return m_engine.serverMemory(server.description().service) > 0;
}

std::optional<MemoryClaim> MemoryCoordination::claim(const BackendServer& server, const RequestMemory& request) const
{
    if (!m_engine.guardsServerMemory())
        return std::nullopt;
    return MemoryClaim { request, server.ownMemory().usageWithout(server.hash(), request) };
}

std::optional<std::vector<MemoryUsage>> MemoryCoordination::reportRows() const
{
    if (!m_engine.guardsServerMemory())
        return std::nullopt;
    std::vector<MemoryUsage> rows;
    size_t prefixes = 0;
    for (const auto& [id, server] : m_engine.servers().all()) {
        auto usage = server->ownMemory().usage(server->hash());
        if (usage.ownTokens == 0 && usage.prefixes.empty())
            continue;
        prefixes += usage.prefixes.size();
        rows.push_back(prefixes <= maxReportedPrefixes ? std::move(usage) : withoutPrefixes(std::move(usage)));
    }
    return rows;
}

void MemoryCoordination::receiveReport(const PeerReport& report)
{
    if (report.memory)
        m_memory.applyReport(report.sender, orderOf(report), *report.memory, m_engine.clock().now());
}

void MemoryCoordination::receive(const ReservationMessage& message)
{
    if (message.memory)
        m_memory.applyUsage(message.sender, orderOf(message), usageWith(message.memory->others, message.memory->request), m_engine.clock().now());
}

bool MemoryCoordination::isPrincipal(uint64_t server) const
{
    // A member that this instance does not ask for a while may still be asked by others.
    const auto peers = m_host.reservationPeers();
    std::vector<std::string_view> names;
    names.reserve(peers.size() + 1);
    for (const auto& peer : peers)
        names.push_back(peer.name);
    if (m_host.acceptsCallers() || names.empty())
        names.emplace_back(m_ownName);
    return names[coordinatorOf(server, names).value_or(0)] == m_ownName;
}

ServerMemory::Context MemoryCoordination::context(const BackendServer& server) const
{
    return { m_engine.serverMemory(server.description().service), isPrincipal(server.hash()), m_listedInstances, m_reportLifetime, m_engine.clock().now() };
}

MemoryDecision MemoryCoordination::decide(const BackendServer& server, const ReservationMessage& message)
{
    return m_memory.decide(server.ownMemory().usage(server.hash()), requestOf(message), context(server));
}

bool MemoryCoordination::fits(const BackendServer& server, const ReservationMessage& message)
{
    return !isGuarded(server) || decide(server, message) == MemoryDecision::Fits;
}

bool MemoryCoordination::admits(const BackendServer& server, const ReservationMessage& message)
{
    if (!isGuarded(server))
        return true;
    const auto decision = decide(server, message);
    ++m_engine.counts().memoryDecisions.at(static_cast<size_t>(decision));
    logChange(server, decision);
    return decision == MemoryDecision::Fits;
}

void MemoryCoordination::logChange(const BackendServer& server, MemoryDecision decision)
{
    auto& latest = m_latest.try_emplace(server.hash(), MemoryDecision::Fits).first->second;
    if (std::exchange(latest, decision) == decision)
        return;
    const auto held = m_memory.heldTokens(server.ownMemory().usage(server.hash()), m_engine.clock().now());
    const auto severity = decision == MemoryDecision::Fits ? Severity::Info : Severity::Warning;
    logEvent(severity, "server-memory", { { "server", server.description().id }, { "state", decisionNames.at(static_cast<size_t>(decision)) }, { "tokens", held }, { "capacity", m_engine.serverMemory(server.description().service) } });
}

void MemoryCoordination::recordGrant(const BackendServer& server, const ReservationMessage& message)
{
    if (isGuarded(server))
        m_memory.recordGrant(server.hash(), requestOf(message), context(server));
}

void MemoryCoordination::recordDenial(const ReservationMessage& message)
{
    if (message.memory)
        m_memory.applyDenial(message.sender, orderOf(message), message.memory->others);
}

}
