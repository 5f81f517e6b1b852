#pragma once

#include "../limits/WorkClass.h"
#include "../placement/EngineView.h"
#include "LatencyTracker.h"

#include <unordered_map>
#include <vector>

namespace borageslip {

/** What was observed of one request at an engine. */
struct AttemptOutcome {
    enum class Kind {
        FirstToken,
        EngineFailure, ///< The engine answered with a failure, or its connection was lost or silent.
        CallerAborted,
        CredentialExpired,
    };

    Kind kind = Kind::FirstToken;
    WorkClass workClass = WorkClass::Standard;
    Duration timeToFirstToken {}; ///< For FirstToken.
    TimePoint requestStarted {};
    uint64_t connection = 0; ///< Rises with each new connection to the engine.
};

struct WeightChange {
    EngineHash engine = 0;
    double weight = 1;
};

/** Lowers the weights of the slow or failing engines of one model by degrees and raises them again after probes with
    real requests.

    Caller aborts, expired credentials, failures on connections older than the newest, and requests that started before
    the engine's last weight change say nothing of the engine now and are ignored. */
class EngineEjector {
public:
    struct Settings {
        double maximumLoweredFraction = 0.3;
        double slowRatio = 2; ///< Median time to first token, over the fleet's, above which the weight is lowered.
        double recoveredRatio = 1.4; ///< Below slowRatio: hysteresis between lowering and raising.
        uint32_t minimumSamples = 5;
        uint32_t minimumProbes = 3;
        double failureFraction = 0.3;
        Duration cooldown = std::chrono::seconds(5);
        Duration probeInterval = std::chrono::seconds(1);
    };

    explicit EngineEjector(const Settings& settings)
        : m_settings(settings)
    {
    }

    void addEngine(EngineHash);
    void removeEngine(EngineHash engine) { m_engines.erase(engine); }

    /** Tells how many engines carry the model in the region and how many of them other homes have lowered. */
    void setFleetSize(size_t engines, size_t loweredByPeers);

    /** Sets the fleet's median time to first token of a class; without it, the median over the engines known here is
        used when there are at least three. */
    void setFleetMedian(WorkClass workClass, std::optional<Duration> median) { m_fleetMedians.at(indexOf(workClass)) = median; }

    void record(EngineHash, const AttemptOutcome&, TimePoint now);

    /** Records requests that other routers sent to an engine; nothing is known of their latencies. Counts that come less
        than a second after a change of its weight may be of requests before it, and are ignored. */
    void recordPeerOutcomes(EngineHash, uint32_t successes, uint32_t failures, TimePoint now);

    /** Median of the medians of the engines known here, and how many have enough samples. */
    struct LocalMedian {
        Duration median {};
        size_t engines = 0;
    };
    LocalMedian localMedian(WorkClass, TimePoint now);

    /** Compares every engine with the fleet and returns the weights that change. Call it about once per second. */
    std::vector<WeightChange> evaluate(TimePoint now);

    /** Whether a request may go to this ejected engine as a probe. */
    bool isProbeDue(EngineHash, TimePoint now) const;

    /** True when the next request should go to this ejected engine as a probe; at most once per probe interval. */
    bool tryProbe(EngineHash, TimePoint now);

    double weight(EngineHash) const;
    size_t loweredCount() const;

private:
    struct EngineState {
        std::array<LatencyTracker, workClassCount> latencies;
        uint32_t successes = 0;
        uint32_t failures = 0;
        size_t step = 0;
        TimePoint lastChange {};
        TimePoint lastProbe {};
        uint64_t newestConnection = 0;
    };
    enum class Health {
        TooFewSamples,
        Healthy,
        Borderline,
        Unhealthy,
    };

    Health assess(EngineState&, const std::array<std::optional<Duration>, workClassCount>& medians, TimePoint now) const;
    std::array<std::optional<Duration>, workClassCount> fleetMedians(TimePoint now);

    Settings m_settings;
    std::unordered_map<EngineHash, EngineState> m_engines;
    std::array<std::optional<Duration>, workClassCount> m_fleetMedians;
    size_t m_fleetEngines = 0;
    size_t m_loweredByPeers = 0;
};

}
