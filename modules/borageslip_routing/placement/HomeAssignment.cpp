#include "HomeAssignment.h"

namespace borageslip {

HomeAssignment::HomeAssignment(std::span<const HomeCandidate> members)
{
    std::vector<EngineView> views;
    for (const auto& member : members) {
        if (!member.isPlaceable || member.weight <= 0)
            continue;
        m_members.push_back(member.id);
        EngineView view;
        view.hash = hashBytes(member.id.text());
        view.weight = member.weight;
        views.push_back(std::move(view));
    }
    m_ranking = RendezvousRanking(views);
}

std::optional<MemberId> HomeAssignment::homeOf(const EngineId& engine) const
{
    auto members = homeAndSuccessors(engine, 1);
    if (members.empty())
        return std::nullopt;
    return std::move(members.front());
}

std::vector<MemberId> HomeAssignment::homeAndSuccessors(const EngineId& engine, size_t count) const
{
    std::vector<size_t> indexes;
    m_ranking.topRanked(ChatKey { engineHash(engine) }, count, indexes);
    std::vector<MemberId> members;
    members.reserve(indexes.size());
    for (const auto index : indexes)
        members.push_back(m_members[index]);
    return members;
}

}
