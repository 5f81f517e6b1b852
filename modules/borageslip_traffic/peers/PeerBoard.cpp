#include "PeerBoard.h"

#include <algorithm>
#include <tuple>

namespace borageslip {

std::vector<ServerOutcomes> PeerBoard::takeOutcomes(Entry& entry)
{
    std::vector<ServerOutcomes> news;
    for (const auto& row : entry.report.outcomes) {
        const auto [found, isNew] = entry.outcomes.try_emplace(row.server, row);
        auto& known = found->second;
        // The first totals of a server may be of long ago; lower ones belong to its next incarnation.
        if (!isNew && row.answers >= known.answers && row.failures >= known.failures)
            news.push_back({ row.server, row.answers - known.answers, row.failures - known.failures });
        known = row;
    }
    return news;
}

std::vector<ServerOutcomes> PeerBoard::apply(PeerReport report, TimePoint now)
{
    auto& entry = m_entries[report.sender];
    const auto& known = entry.report;
    const bool isNewer = known.sender.empty() || std::tuple(report.incarnation, report.sequence) > std::tuple(known.incarnation, known.sequence);
    if (!isNewer)
        return {};
    if (report.incarnation != known.incarnation)
        entry.outcomes.clear();
    entry.report = std::move(report);
    entry.heardAt = now;
    return takeOutcomes(entry);
}

std::unordered_map<uint64_t, ServerUse> PeerBoard::uses(TimePoint now) const
{
    std::unordered_map<uint64_t, ServerUse> total;
    for (const auto& [sender, entry] : m_entries) {
        if (now - entry.heardAt > m_lifetime)
            continue;
        for (const auto& use : entry.report.uses) {
            auto& sum = total[use.server];
            sum.inFlight += use.inFlight;
            sum.pendingPrefill += use.pendingPrefill;
        }
    }
    return total;
}

bool PeerBoard::isHeard(std::string_view instance, TimePoint now) const
{
    const auto found = m_entries.find(instance);
    return found != m_entries.end() && now - found->second.heardAt <= m_lifetime;
}

bool PeerBoard::takesCallers(std::string_view instance) const
{
    const auto found = m_entries.find(instance);
    return found != m_entries.end() && found->second.report.takesCallers;
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
