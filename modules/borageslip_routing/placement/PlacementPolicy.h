#pragma once

#include "EngineView.h"

#include <borageslip_core/identity/ChatKey.h>
#include <span>
#include <vector>

namespace borageslip {

/** Strategy that ranks the engines for a chat. */
class PlacementPolicy {
public:
    virtual ~PlacementPolicy() = default;

    /** Returns indexes into `engines`, best first; unavailable engines are left out. */
    virtual std::vector<size_t> rank(ChatKey, std::span<const EngineView> engines) = 0;
};

}
