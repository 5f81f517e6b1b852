#include "RendezvousPlacement.h"

#include <algorithm>

namespace borageslip {

std::vector<size_t> RendezvousPlacement::rank(ChatKey chat, std::span<const EngineView> engines)
{
    const RendezvousRanking ranking(engines);
    std::vector<size_t> indexes;
    ranking.topRanked(chat, engines.size(), indexes);
    return indexes;
}

std::optional<size_t> RendezvousPlacement::choose(ChatKey chat, std::span<const EngineView> engines, const RendezvousRanking& ranking, int limit, std::span<const EngineHash> preferred, size_t firstRank)
{
    const size_t total = ranking.rankableCount();
    if (total == 0)
        return std::nullopt;
    const auto hasRoom = [&](size_t index) { return engines[index].running < limit && (engines[index].slots == 0 || engines[index].running < engines[index].slots); };
    for (const auto engine : preferred.subspan(std::min(firstRank, preferred.size()))) {
        const auto index = ranking.indexOf(engine);
        if (index && engines[*index].isAvailable && engines[*index].weight > 0 && hasRoom(*index))
            return index;
    }
    firstRank %= total;
    if (firstRank > 0) {
        ranking.topRanked(chat, firstRank + 4, m_ranked);
        for (size_t i = firstRank; i < m_ranked.size(); ++i) {
            if (hasRoom(m_ranked[i]))
                return m_ranked[i];
        }
    }
    return ranking.firstEligible(chat, hasRoom);
}

}
