#pragma once

#include "PlacementPolicy.h"
#include "RendezvousRanking.h"

#include <optional>

namespace borageslip {

/** Weighted rendezvous hashing with bounded loads: every instance computes the same order for a chat without shared
    state.
    @see LoadBound, DisplacedChatTable, HotChatSpreader */
class RendezvousPlacement final : public PlacementPolicy {
public:
    std::vector<size_t> rank(ChatKey, std::span<const EngineView> engines) override;

    /** Returns the index of the first engine that runs fewer than `limit` requests and has a free slot, or nothing if
        there is none. Tries the preferred engines first, then all others in rendezvous order.
        @param preferred engines that cache the chat's prefix, best first.
        @param firstRank number of preferred engines and of ranks to skip, for a popular chat; wraps around at the
        number of engines. If the next few ranks have no room either, the skipped ones are considered again. */
    std::optional<size_t> choose(ChatKey, std::span<const EngineView> engines, const RendezvousRanking&, int limit, std::span<const EngineHash> preferred = {}, size_t firstRank = 0);

private:
    std::vector<size_t> m_ranked;
};

}
