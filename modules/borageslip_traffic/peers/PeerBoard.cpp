#include "PeerBoard.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace borageslip {

std::vector<ServerOutcomes> PeerBoard::takeOutcomes(Entry& entry, std::span<const ServerOutcomes> rows)
{
    std::vector<ServerOutcomes> news;
    for (const auto& row : rows) {
        const auto [found, isNew] = entry.outcomes.try_emplace(row.server, row);
        auto& known = found->second;
        // The first totals of a server may be of long ago; lower ones belong to its next incarnation.
        if (!isNew && row.answers >= known.answers && row.failures >= known.failures)
            news.push_back({ row.server, row.answers - known.answers, row.failures - known.failures });
        known = row;
    }
    return news;
}

PeerBoard::Entry* PeerBoard::entryFor(const std::string& sender, uint64_t incarnation, uint64_t sequence, TimePoint now)
{
    auto& entry = m_entries[sender];
    if (std::tuple(incarnation, sequence) <= std::tuple(entry.incarnation, entry.sequence))
        return nullptr;
    if (incarnation != entry.incarnation) {
        entry.outcomes.clear();
        entry.uses.clear();
        entry.hasReported = false;
    }
    entry.incarnation = incarnation;
    entry.sequence = sequence;
    entry.heardAt = now;
    return &entry;
}

PeerBoard::Changes PeerBoard::apply(PeerReport report, TimePoint now)
{
    auto* entry = entryFor(report.sender, report.incarnation, report.sequence, now);
    if (entry == nullptr)
        return {};
    entry->hasReported = true;
    entry->takesCallers = report.takesCallers;
    Changes changes { {}, takeOutcomes(*entry, report.outcomes) };
    const auto before = std::exchange(entry->uses, {});
    for (const auto& use : report.uses) {
        entry->uses.insert_or_assign(use.server, use);
        const auto found = before.find(use.server);
        if (found == before.end() || found->second != use)
            changes.servers.push_back(use.server);
    }
    for (const auto& [server, use] : before) {
        if (!entry->uses.contains(server))
            changes.servers.push_back(server);
    }
    return changes;
}

bool PeerBoard::applyUse(const PlaceMessage& message, TimePoint now)
{
    auto* entry = entryFor(message.sender, message.incarnation, message.sequence, now);
    if (entry == nullptr)
        return false;
    if (message.use.inFlight == 0)
        entry->uses.erase(message.use.server);
    else
        entry->uses.insert_or_assign(message.use.server, message.use);
    return true;
}

ServerUse PeerBoard::useBy(std::string_view instance, uint64_t server) const
{
    const auto entry = m_entries.find(instance);
    if (entry == m_entries.end())
        return { server, 0, 0 };
    const auto use = entry->second.uses.find(server);
    return use == entry->second.uses.end() ? ServerUse { server, 0, 0 } : use->second;
}

ServerUse PeerBoard::useOf(uint64_t server, TimePoint now) const
{
    ServerUse total { server, 0, 0 };
    for (const auto& [sender, entry] : m_entries) {
        const auto use = entry.uses.find(server);
        if (use == entry.uses.end() || now - entry.heardAt > m_lifetime)
            continue;
        total.inFlight += use->second.inFlight;
        total.pendingPrefill += use->second.pendingPrefill;
    }
    return total;
}

std::unordered_map<uint64_t, ServerUse> PeerBoard::uses(TimePoint now) const
{
    std::unordered_map<uint64_t, ServerUse> total;
    for (const auto& [sender, entry] : m_entries) {
        if (now - entry.heardAt > m_lifetime)
            continue;
        for (const auto& [server, use] : entry.uses) {
            auto& sum = total[server];
            sum.inFlight += use.inFlight;
            sum.pendingPrefill += use.pendingPrefill;
        }
    }
    return total;
}

bool PeerBoard::isHeard(std::string_view instance, TimePoint now) const
{
    const auto found = m_entries.find(instance);
    return found != m_entries.end() && found->second.hasReported && now - found->second.heardAt <= m_lifetime;
}

bool PeerBoard::takesCallers(std::string_view instance) const
{
    const auto found = m_entries.find(instance);
    return found != m_entries.end() && found->second.takesCallers;
}

size_t PeerBoard::heardCount(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) { return now - entry.second.heardAt <= m_lifetime; }));
}

std::optional<TimePoint> PeerBoard::meanHeardAt(TimePoint now) const
{
    Duration total {};
    int count = 0;
    for (const auto& [sender, entry] : m_entries) {
        if (now - entry.heardAt > m_lifetime)
            continue;
        total += now - entry.heardAt;
        ++count;
    }
    return count == 0 ? std::nullopt : std::optional(now - total / count);
}

Duration PeerBoard::oldestAge(TimePoint now) const
{
    Duration oldest {};
    for (const auto& [sender, entry] : m_entries) {
        if (const auto age = now - entry.heardAt; age <= m_lifetime)
            oldest = std::max(oldest, age);
    }
    return oldest;
}

}
