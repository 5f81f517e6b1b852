#pragma once

#include <borageslip_configuration/borageslip_configuration.h>
#include <borageslip_membership/borageslip_membership.h>
#include <borageslip_routing/borageslip_routing.h>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace borageslip {

/** Consistent snapshot of the configuration and the members, with the placement data derived from them. Immutable.

    Built once per change and shared by all requests, because building the ranking data of 5,000 engines for every request
    would be too expensive. */
class FleetView {
public:
    /** Engines of one model in this region; the ranking refers to them by index. */
    struct ModelEngines {
        std::vector<EngineId> ids;
        RendezvousRanking ranking;
    };

    /** @param region region whose engines this daemon places chats on and whose members can be their homes. */
    FleetView(std::shared_ptr<const FleetConfiguration>, std::shared_ptr<const std::vector<Member>>, const Region& region);

    const FleetConfiguration& configuration() const { return *m_configuration; }
    const std::vector<Member>& members() const { return *m_members; }
    const std::vector<HomeCandidate>& homeCandidates() const { return m_homes; }
    /** Engines of the region. */
    const std::vector<EngineId>& engines() const { return m_engines; }

    const Member* member(const MemberId&) const;

    /** Returns the engines of a model, or null if the model is not configured. */
    const ModelEngines* enginesOf(const ModelId&) const;

    /** Returns true if any member can be the home of an engine. */
    bool hasHomes() const;

    /** Returns the home of the engine, or null if no member can be its home. */
    const Member* homeOf(const EngineId&) const;

private:
    std::shared_ptr<const FleetConfiguration> m_configuration;
    std::shared_ptr<const std::vector<Member>> m_members;
    std::vector<HomeCandidate> m_homes;
    HomeAssignment m_assignment;
    std::vector<EngineId> m_engines;
    std::map<ModelId, ModelEngines> m_models;
};

/** Holds the current FleetView. Thread-safe. */
class FleetViewHolder {
public:
    /** Returns the view, or null while no configuration is in force. */
    std::shared_ptr<const FleetView> current() const;
    void set(std::shared_ptr<const FleetView>);

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const FleetView> m_view;
};

}
