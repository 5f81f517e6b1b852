#pragma once

#include <borageslip_core/borageslip_core.h>
#include <string>
#include <vector>

namespace borageslip {

/** One step in routing a call at the entry. */
struct RouteStep {
    enum class Kind {
        Asked, ///< Admission was requested from a home.
        Retried, ///< A failed attempt is retried on the next engine.
        Resumed, ///< A stream is resumed through the engine's next home.
    };

    Kind kind = Kind::Asked;
    EngineId engine;
    MemberId home; ///< Empty if no member can be the home.
    std::string answer; ///< "admit", or the name of the error kind.
    std::string reason;
};

/** Receives the routing steps of one call. Called on the thread that serves the call.
    @see ChatRouter */
class RouteListener {
public:
    virtual ~RouteListener() = default;

    virtual void candidatesRanked(const std::vector<EngineId>&) = 0;
    virtual void routeStep(const RouteStep&) = 0;
};

}
