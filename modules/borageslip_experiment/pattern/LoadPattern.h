#pragma once

#include <borageslip_core/errors/Result.h>
#include <borageslip_core/time/Clock.h>

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace borageslip {

/** How the modelled engines work. All engines of a pattern are alike until an event changes them. */
struct EngineModelSettings {
    int slots = 16; ///< Requests in one batch.
    int64_t cacheTokens = 60'000; ///< Memory shared by running requests and cached prompts.
    Duration stepTime = std::chrono::milliseconds(15); ///< Of a step with an empty batch.
    Duration stepTimePerRequest = std::chrono::microseconds(600); ///< Added for each request in the batch.
    Duration prefillTimePerToken = std::chrono::microseconds(40);
    int64_t prefillChunk = 1024; ///< Prompt tokens read in one step at most.
};

/** Inclusive range of a uniform draw. */
struct DrawRange {
    int64_t from = 0;
    int64_t to = 0;
};

/** Requests of one kind of one client account. */
struct PatternClass {
    std::string name;
    std::string account;
    int accountPriority = 0;
    int priority = 0;
    double rate = 1; ///< Requests a second.
    DrawRange promptTokens; ///< Of the request's own part.
    DrawRange outputTokens;
    int prefixes = 1; ///< Prompt beginnings shared by its requests.
    int64_t prefixTokens = 0;
    Duration timeout {};
    Duration latencyObjective {}; ///< To the first token.
    bool mayRunAgain = true;
};

/** What happens to the load or to the engines for a while. */
struct PatternEvent {
    enum class Kind {
        Surge, ///< The rate of the named class, of the named account, or of all is multiplied.
        HotPrefix, ///< A share of the requests uses one prefix.
        Crash, ///< A share of the engines is lost with what they run, and returns with an empty cache.
        Slow, ///< A share of the engines takes longer for each step.
        Failing, ///< A share of the engines fails half of its requests at once.
        GiveUp, ///< A share of the callers leaves after a while.
        RetryAtOnce, ///< A share of the rejected callers returns at once instead of when told.
    };

    Kind kind = Kind::Surge;
    Duration start {};
    Duration end {};
    double factor = 1; ///< Of Surge and Slow.
    double share = 1; ///< Of the other kinds, and of the engines for Slow.
    Duration giveUpAfter {}; ///< Of GiveUp.
    std::string requestClass;
    std::string account;

    bool isActive(Duration at) const { return start <= at && at < end; }
};

/** A load on a small fleet over a short time. @see loadPatternFromJson */
struct LoadPattern {
    std::string name;
    Duration length {};
    Duration warmUp {}; ///< Requests that arrive earlier are not counted.
    int instances = 9;
    int engines = 10;
    Duration reportInterval = std::chrono::milliseconds(100); ///< Between an instance's reports to the others.
    EngineModelSettings engine;
    std::vector<PatternClass> classes;
    std::vector<PatternEvent> events;
};

/** Errors: InvalidSettings for a document that schemas/load-pattern.schema.json accepts but that names an unknown class
    or account, or whose ranges are empty. */
Result<LoadPattern> loadPatternFromJson(const nlohmann::json&);

}
