#pragma once

#include <borageslip_core/errors/Result.h>
#include <borageslip_core/time/Clock.h>

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace borageslip {

/** Capacity and timing of the modelled engines, the same for all engines of a pattern until an event changes some. */
struct EngineModelSettings {
    int slots = 16; ///< Maximum number of requests in a batch.
    int64_t cacheTokens = 60'000; ///< Memory in tokens, shared by running requests and cached prompt prefixes.
    Duration stepTime = std::chrono::milliseconds(15); ///< Base duration of a step.
    Duration stepTimePerRequest = std::chrono::microseconds(600); ///< Added for each request in the batch.
    Duration prefillTimePerToken = std::chrono::microseconds(40);
    int64_t prefillChunk = 1024; ///< Maximum number of prompt tokens prefilled in one step.
};

/** Inclusive range of a uniform distribution. */
struct DrawRange {
    int64_t from = 0;
    int64_t to = 0;
};

/** A class of similar requests of one client account. */
struct PatternClass {
    std::string name;
    std::string account;
    int accountPriority = 0;
    int priority = 0;
    double rate = 1; ///< Requests per second.
    DrawRange promptTokens; ///< Without the shared prefix.
    DrawRange outputTokens;
    int prefixes = 1; ///< Number of different prompt prefixes that its requests share.
    int64_t prefixTokens = 0;
    Duration timeout {};
    Duration latencyObjective {}; ///< To the first token.
    bool mayRunAgain = true;
};

/** A temporary change of the load or of the engines. */
struct PatternEvent {
    enum class Kind {
        Surge, ///< Multiplies the rate of the named class, of the named account, or of all classes.
        HotPrefix, ///< A share of the requests of each class uses the same prefix.
        Crash, ///< A share of the engines crashes, loses its requests, and restarts at the end with an empty cache.
        Slow, ///< The steps of a share of the engines take longer.
        Failing, ///< A share of the engines fails half of its requests immediately.
        GiveUp, ///< A share of the callers gives up after giveUpAfter.
        RetryAtOnce, ///< A share of the rejected callers ignores Retry-After and retries immediately.
    };

    Kind kind = Kind::Surge;
    Duration start {};
    Duration end {};
    double factor = 1; ///< Of the request rate for Surge, of the step time for Slow.
    double share = 1; ///< Affected share of the requests, callers or engines; not used by Surge.
    Duration giveUpAfter {}; ///< Time from the arrival until the caller gives up; used by GiveUp.
    std::string requestClass;
    std::string account;

    bool isActive(Duration at) const { return start <= at && at < end; }
};

/** Differences between the engines of a pattern in how long their steps take. */
struct EngineSpeeds {
    int slowEvery = 0; ///< Every engine at such a position is slower than the others; 0 for none.
    double slowFactor = 1; ///< Of the step time of these engines.
    double neighbourShare = 0; ///< Share of the time in which a neighbour on the same machine slows an engine.
    double neighbourFactor = 1; ///< Of the step time in that time.
    Duration neighbourTime = std::chrono::milliseconds(600); ///< Mean duration of one slowdown.
};

/** Coordinators that grant or deny each request for their engines, as in the product. */
struct CoordinatorModel {
    bool isEnabled = false;
    Duration roundTrip {}; ///< To the coordinator and back; it delays a request at each attempt.
};

/** Fleet, load and events of an experiment. @see loadPatternFromJson */
struct LoadPattern {
    std::string name;
    Duration length {};
    Duration warmUp {}; ///< Requests that arrive earlier are not counted.
    int instances = 9;
    int engines = 10;
    Duration reportInterval = std::chrono::milliseconds(100); ///< Between two load reports of an instance to its peers.
    std::vector<double> callerShares { 1 }; ///< Relative number of callers of the instances, repeated for all of them.
    EngineSpeeds speeds;
    CoordinatorModel coordinators;
    EngineModelSettings engine;
    std::vector<PatternClass> classes;
    std::vector<PatternEvent> events;
};

/** Creates a load pattern from a document that is valid under schemas/load-pattern.schema.json.

    Errors: InvalidSettings if an event names an unknown class or account, or if a range is empty. */
Result<LoadPattern> loadPatternFromJson(const nlohmann::json&);

}
