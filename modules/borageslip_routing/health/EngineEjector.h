#pragma once

#include "../limits/WorkClass.h"
#include "../placement/EngineView.h"
#include "LatencyTracker.h"

#include <unordered_map>
#include <vector>

namespace borageslip {

/** Outcome of one attempt to run a request on an engine. */
struct AttemptOutcome {
    enum class Kind {
        FirstToken,
        EngineFailure, ///< The engine returned an error, or its connection broke or stopped responding.
        CallerAborted,
        CredentialExpired,
    };

    Kind kind = Kind::FirstToken;
    WorkClass workClass = WorkClass::Standard;
    Duration timeToFirstToken {}; ///< Used only for FirstToken.
    TimePoint requestStarted {};
    uint64_t connection = 0; ///< Sequence number of the connection; each new connection to the engine has a higher one.
};

struct WeightChange {
    EngineHash engine = 0;
    double weight = 1;
};

/** Outlier detection for the engines of one model. Lowers the weights of slow or failing engines in steps, and raises
    them again in steps after probes with real requests. An engine of weight 0 is ejected: it receives only probes.

    Outcomes that say nothing about the engine's current state are ignored: caller aborts, expired credentials, failures
    on connections older than the newest one, and requests that started before the engine's last weight change. */
class EngineEjector {
public:
    struct Settings {
        double maximumLoweredFraction = 0.3;
        double slowRatio = 2; ///< Ratio of the engine's to the fleet's median time to first token, above which the weight is lowered.
        double recoveredRatio = 1.4; ///< Ratio below which the weight is raised; lower than slowRatio, for hysteresis.
        uint32_t minimumSamples = 5;
        uint32_t minimumProbes = 3;
        double failureFraction = 0.3;
        Duration cooldown = std::chrono::seconds(5);
        Duration probeInterval = std::chrono::seconds(1);
        Duration loweredProbeInterval {}; ///< Between probes of engines whose weight is being raised and still below 1; zero for none.
    };

    explicit EngineEjector(const Settings& settings)
        : m_settings(settings)
    {
    }

    void addEngine(EngineHash);
    void removeEngine(EngineHash engine) { m_engines.erase(engine); }

    /** Sets the number of engines that serve the model in the region, and how many of them have a weight lowered by
        other homes; these count towards maximumLoweredFraction too. */
    void setFleetSize(size_t engines, size_t loweredByPeers);

    /** Sets the fleet's median time to first token of a work class. Without it, localMedian is used if at least three
        engines contribute to it. */
    void setFleetMedian(WorkClass workClass, std::optional<Duration> median) { m_fleetMedians.at(indexOf(workClass)) = median; }

    void record(EngineHash, const AttemptOutcome&, TimePoint now);

    /** Records the outcomes of requests that other instances sent to an engine; their latencies are unknown. Counts
        that arrive less than a second after a change of the engine's weight are ignored, because they may include
        requests from before the change. */
    void recordPeerOutcomes(EngineHash, uint32_t successes, uint32_t failures, TimePoint now);

    /** Median of the median times to first token of the engines added here, and the number of engines that have enough
        samples to contribute. */
    struct LocalMedian {
        Duration median {};
        size_t engines = 0;
    };
    LocalMedian localMedian(WorkClass, TimePoint now);

    /** Compares every engine with the fleet, updates the weights and returns the changes. Call it about once per
        second. */
    std::vector<WeightChange> evaluate(TimePoint now);

    /** Returns whether a request may be sent to this engine as a probe, whatever its weight. */
    bool isProbeDue(EngineHash, TimePoint now) const;

    /** Returns true if the next request should be sent to this engine as a probe, and starts a new probe interval; at
        most once per probe interval. */
    bool tryProbe(EngineHash, TimePoint now);

    double weight(EngineHash) const;
    size_t loweredCount() const;

private:
    struct EngineState {
        std::array<LatencyTracker, workClassCount> latencies;
        uint32_t successes = 0;
        uint32_t failures = 0;
        size_t step = 0;
        bool isRecovering = false; ///< Whether the latest change raised the weight.
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
