#pragma once

#include <borageslip_core/identity/Hash.h>
#include <borageslip_core/identity/Identifier.h>
#include <borageslip_core/time/Clock.h>

namespace borageslip {

/** Hash of an engine's id, used as a compact key in the routing tables. */
using EngineHash = uint64_t;

inline EngineHash engineHash(const EngineId& id) { return hashBytes(id.text()); }

/** State of one engine that placement decisions depend on. */
struct EngineView {
    EngineId id;
    EngineHash hash = 0;
    double weight = 1; ///< Relative share of the chats; 0 excludes the engine from the ranking.
    int slots = 0;
    int running = 0; ///< Running requests, as counted locally or last reported by the engine's home.
    int reportedLoad = 0; ///< Running and waiting requests, from the engine's own last report.
    Duration reportAge {};
    bool isAvailable = true;
    FailureDomain failureDomain {};
};

}
