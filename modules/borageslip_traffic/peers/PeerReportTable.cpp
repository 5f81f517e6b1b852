#include "PeerReportTable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace borageslip {

std::vector<ServerOutcomes> PeerReportTable::outcomeIncreases(Entry& entry, std::span<const ServerOutcomes> rows)
{
    std::vector<ServerOutcomes> increases;
    for (const auto& row : rows) {
        const auto [found, isNew] = entry.outcomes.try_emplace(row.server, row);
        auto& known = found->second;
        // The first totals received for a server may include old outcomes, and lower totals mean that the server has a
        // new incarnation: both only set the baseline.
        if (!isNew && row.answers >= known.answers && row.failures >= known.failures)
            increases.push_back({ row.server, row.answers - known.answers, row.failures - known.failures });
        known = row;
    }
    return increases;
}

PeerReportTable::Entry* PeerReportTable::acceptMessage(const std::string& sender, uint64_t incarnation, uint64_t sequence, TimePoint now)
{
    auto& entry = m_entries[sender];
    if (std::tuple(incarnation, sequence) <= std::tuple(entry.incarnation, entry.sequence))
        return nullptr;
    if (incarnation != entry.incarnation) {
        entry.outcomes.clear();
        entry.usages.clear();
        entry.hasReported = false;
    }
    entry.incarnation = incarnation;
    entry.sequence = sequence;
    entry.receivedAt = now;
    return &entry;
}

PeerReportTable::Changes PeerReportTable::apply(PeerReport report, TimePoint now)
{
    auto* entry = acceptMessage(report.sender, report.incarnation, report.sequence, now);
    if (entry == nullptr)
        return {};
    entry->hasReported = true;
    entry->acceptsCallers = report.acceptsCallers;
    Changes changes { {}, outcomeIncreases(*entry, report.outcomes) };
    const auto before = std::exchange(entry->usages, {});
    for (const auto& usage : report.usages) {
        entry->usages.insert_or_assign(usage.server, usage);
        const auto found = before.find(usage.server);
        if (found == before.end() || found->second != usage)
            changes.servers.push_back(usage.server);
    }
    for (const auto& [server, usage] : before) {
        if (!entry->usages.contains(server))
            changes.servers.push_back(server);
    }
    return changes;
}

bool PeerReportTable::applyUsage(const ReservationMessage& message, TimePoint now)
{
    auto* entry = acceptMessage(message.sender, message.incarnation, message.sequence, now);
    if (entry == nullptr)
        return false;
    if (message.usage.inFlight == 0)
        entry->usages.erase(message.usage.server);
    else
        entry->usages.insert_or_assign(message.usage.server, message.usage);
    return true;
}

ServerUsage PeerReportTable::usageBy(std::string_view instance, uint64_t server) const
{
    const auto entry = m_entries.find(instance);
    if (entry == m_entries.end())
        return { server, 0, 0 };
    const auto usage = entry->second.usages.find(server);
    return usage == entry->second.usages.end() ? ServerUsage { server, 0, 0 } : usage->second;
}

ServerUsage PeerReportTable::totalUsage(uint64_t server, TimePoint now) const
{
    ServerUsage total { server, 0, 0 };
    for (const auto& [sender, entry] : m_entries) {
        const auto usage = entry.usages.find(server);
        if (usage == entry.usages.end() || now - entry.receivedAt > m_lifetime)
            continue;
        total.inFlight += usage->second.inFlight;
        total.pendingPrefill += usage->second.pendingPrefill;
    }
    return total;
}

std::unordered_map<uint64_t, ServerUsage> PeerReportTable::usageByServer(TimePoint now) const
{
    std::unordered_map<uint64_t, ServerUsage> total;
    for (const auto& [sender, entry] : m_entries) {
        if (now - entry.receivedAt > m_lifetime)
            continue;
        for (const auto& [server, usage] : entry.usages) {
            auto& sum = total[server];
            sum.inFlight += usage.inFlight;
            sum.pendingPrefill += usage.pendingPrefill;
        }
    }
    return total;
}

bool PeerReportTable::hasRecentReport(std::string_view instance, TimePoint now) const
{
    const auto found = m_entries.find(instance);
    return found != m_entries.end() && found->second.hasReported && now - found->second.receivedAt <= m_lifetime;
}

bool PeerReportTable::hasMessageWithin(std::string_view instance, Duration age, TimePoint now) const
{
    const auto found = m_entries.find(instance);
    return found != m_entries.end() && now - found->second.receivedAt <= age;
}

bool PeerReportTable::acceptsCallers(std::string_view instance) const
{
    const auto found = m_entries.find(instance);
    return found != m_entries.end() && found->second.acceptsCallers;
}

size_t PeerReportTable::livePeerCount(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) { return now - entry.second.receivedAt <= m_lifetime; }));
}

std::optional<TimePoint> PeerReportTable::meanReceivedAt(TimePoint now) const
{
    Duration total {};
    int count = 0;
    for (const auto& [sender, entry] : m_entries) {
        if (now - entry.receivedAt > m_lifetime)
            continue;
        total += now - entry.receivedAt;
        ++count;
    }
    return count == 0 ? std::nullopt : std::optional(now - total / count);
}

Duration PeerReportTable::maxReportAge(TimePoint now) const
{
    Duration oldest {};
    for (const auto& [sender, entry] : m_entries) {
        if (const auto age = now - entry.receivedAt; age <= m_lifetime)
            oldest = std::max(oldest, age);
    }
    return oldest;
}

}
