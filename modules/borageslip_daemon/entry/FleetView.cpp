#include "FleetView.h"

#include <algorithm>

namespace borageslip {

namespace {

    std::vector<HomeCandidate> homeCandidates(std::span<const Member> members, const Region& region)
    {
        std::vector<HomeCandidate> candidates;
        for (const auto& member : members) {
            // A suspected member remains the home of its engines, because most suspicions are refuted within seconds.
            const bool isPlaceable = member.isPlaceable && (member.state == MemberState::Alive || member.state == MemberState::Suspect);
            if (member.region == region)
                candidates.push_back({ member.id, 1, isPlaceable });
        }
        return candidates;
    }

}

FleetView::FleetView(std::shared_ptr<const FleetConfiguration> configuration, std::shared_ptr<const std::vector<Member>> members, const Region& region)
    : m_configuration(std::move(configuration))
    , m_members(std::move(members))
    , m_homes(borageslip::homeCandidates(*m_members, region))
    , m_assignment(m_homes)
{
    const auto isLocal = [&](const EngineSettings& engine) { return engine.region.isEmpty() || engine.region == region; };
    for (const auto& [id, engine] : m_configuration->engines()) {
        if (isLocal(engine))
            m_engines.push_back(id);
    }
    for (const auto& [model, definition] : m_configuration->models()) {
        std::vector<EngineView> views;
        ModelEngines engines;
        for (const auto& id : definition.engines) {
            const auto& engine = m_configuration->engines().at(id);
            if (!isLocal(engine))
                continue;
            EngineView view;
            view.id = id;
            view.hash = engineHash(id);
            view.weight = engine.weight;
            view.slots = static_cast<int>(engine.slots);
            views.push_back(std::move(view));
            engines.ids.push_back(id);
        }
        engines.ranking = RendezvousRanking(views);
        m_models.emplace(model, std::move(engines));
    }
}

const Member* FleetView::member(const MemberId& id) const
{
    const auto found = std::find_if(m_members->begin(), m_members->end(), [&](const Member& member) { return member.id == id; });
    return found == m_members->end() ? nullptr : &*found;
}

const FleetView::ModelEngines* FleetView::enginesOf(const ModelId& model) const
{
    const auto found = m_models.find(model);
    return found == m_models.end() ? nullptr : &found->second;
}

bool FleetView::hasHomes() const
{
    return std::any_of(m_homes.begin(), m_homes.end(), [](const HomeCandidate& candidate) { return candidate.isPlaceable; });
}

const Member* FleetView::homeOf(const EngineId& engine) const
{
    const auto home = m_assignment.homeOf(engine);
    return home ? member(*home) : nullptr;
}

std::shared_ptr<const FleetView> FleetViewHolder::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_view;
}

void FleetViewHolder::set(std::shared_ptr<const FleetView> view)
{
    const std::lock_guard lock(m_mutex);
    m_view = std::move(view);
}

}
