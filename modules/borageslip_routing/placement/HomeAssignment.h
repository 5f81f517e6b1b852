#pragma once

#include "RendezvousRanking.h"

#include <optional>

namespace borageslip {

/** A member of the region as home assignment sees it. */
struct HomeCandidate {
    MemberId id;
    double weight = 1;
    bool isPlaceable = true; ///< False while the member is leaving, or too new to take homes.
};

/** Maps each engine to its home, the only member that admits work to it, by weighted rendezvous hashing over the
    placeable members of the engine's region. */
class HomeAssignment {
public:
    HomeAssignment() = default;
    explicit HomeAssignment(std::span<const HomeCandidate>);

    /** Returns the engine's home, or nothing when no member is placeable. */
    std::optional<MemberId> homeOf(const EngineId&) const;

    /** Returns the home followed by the members that adopt the engine in turn when those before them fail. */
    std::vector<MemberId> homeAndSuccessors(const EngineId&, size_t count) const;

private:
    std::vector<MemberId> m_members;
    RendezvousRanking m_ranking;
};

}
