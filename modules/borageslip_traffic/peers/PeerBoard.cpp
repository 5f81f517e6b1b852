#include "PeerBoard.h"

#include <algorithm>
#include <tuple>

namespace borageslip {

void PeerBoard::apply(PeerReport report, TimePoint now)
{
    const auto found = m_entries.find(report.sender);
    if (found == m_entries.end()) {
        auto sender = report.sender;
        m_entries.emplace(std::move(sender), Entry { std::move(report), now });
        return;
    }
    const auto& known = found->second.report;
    const bool isNewer = std::tuple(report.incarnation, report.sequence) > std::tuple(known.incarnation, known.sequence);
    if (isNewer)
        found->second = { std::move(report), now };
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
