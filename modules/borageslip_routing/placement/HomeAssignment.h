#pragma once

#include "RendezvousRanking.h"

#include <optional>

namespace borageslip {

/** A member of the region that may become the home of engines. */
struct HomeCandidate {
    MemberId id;
    double weight = 1;
    bool isPlaceable = true; ///< False while the member is leaving, or too new to become a home.
};

/** Maps each engine to its home, the only member that admits work to it, by weighted rendezvous hashing over the
    placeable members of the engine's region. */
class HomeAssignment {
public:
    HomeAssignment() = default;
    explicit HomeAssignment(std::span<const HomeCandidate>);

    /** Returns the engine's home, or nothing when no member is placeable. */
    std::optional<MemberId> homeOf(const EngineId&) const;

    /** Returns the engine's home followed by its successors, each of which takes over the engine if those before it
        fail. */
    std::vector<MemberId> homeAndSuccessors(const EngineId&, size_t count) const;

private:
    std::vector<MemberId> m_members;
    RendezvousRanking m_ranking;
};

}
