#pragma once

#include "CallerRequest.h"
#include "PlacementStrategy.h"

#include <borageslip_scheduling/limits/FleetRetryBudget.h>
#include <borageslip_scheduling/limits/PriorityReserve.h>
#include <borageslip_scheduling/limits/RequestQueue.h>
#include <borageslip_scheduling/placement/RecentPrefixes.h>
#include <borageslip_scheduling/servers/ServerHealth.h>

namespace borageslip {

/** Simulates one instance: its request queue, retry budget and view of the engines' load and health.

    Uses the production policies; PolicyExperiment carries out their decisions. */
class InstanceModel {
public:
    /** Load that an instance puts on one engine, as it reports it to its peers. */
    struct EngineUsage {
        int inFlight = 0;
        int64_t pendingPrefill = 0;
    };

    InstanceModel(size_t engines, size_t instances);

    RequestQueue queue;
    FleetRetryBudget retryBudget;
    ServerHealth health;
    PriorityReserve priorityReserve;

    void begin(size_t engine, int64_t pendingPrefill);
    void end(size_t engine);
    void removePendingPrefill(size_t engine, int64_t pendingPrefill) { m_ownUsage[engine].pendingPrefill -= pendingPrefill; }

    /** Usage of one engine by the other instances as its coordinator has stated it. */
    struct StatedUsage {
        EngineUsage usage {};
        TimePoint at {};
    };
    StatedUsage& statedUsage(size_t engine) { return m_statedUsage[engine]; }
    bool isLoadOutdated(size_t engine, TimePoint now) const { return now - m_statedUsage[engine].at >= std::chrono::milliseconds(100); }

    const std::vector<EngineUsage>& ownUsage() const { return m_ownUsage; }
    const std::vector<EngineUsage>& peerUsage() const { return m_peerUsage; }

    /** Applies what has changed at another instance since its last report. */
    void applyPeerUsage(const InstanceModel& other);

    /** This instance's own usage as of its last report, which is what its peers know. */
    const std::vector<EngineUsage>& reportedUsage() const { return m_reportedUsage; }
    void markReported();

    /** Estimates the prompt tokens that the engine has to prefill for the request, and records the prefix as recently
        used there. */
    int64_t uncachedTokens(size_t engine, const CallerRequest&);

    /** Records a first token or a failure in this instance's health data and for its next report. */
    void recordAnswer(size_t engine, Duration toFirstToken, TimePoint sentAt, TimePoint now);
    void recordFailure(size_t engine, TimePoint now);

    /** Adds the outcomes that another instance has counted since its last report to this instance's health data. */
    void applyPeerOutcomes(const InstanceModel& other, TimePoint now);

    /** Ejects an unreachable engine for a short time. */
    void ejectUnreachable(size_t engine, Duration now);
    bool isEjected(size_t engine, Duration now) const { return now < m_ejectedUntil[engine]; }

    static uint64_t hashOf(size_t engine);

private:
    struct Outcomes {
        uint32_t answers = 0;
        uint32_t failures = 0;
    };

    std::vector<Outcomes> m_outcomes; ///< Since the last report.
    std::vector<EngineUsage> m_ownUsage;
    std::vector<EngineUsage> m_reportedUsage;
    std::vector<EngineUsage> m_peerUsage;
    std::vector<StatedUsage> m_statedUsage;
    std::vector<Duration> m_ejectedUntil;
    std::vector<RecentPrefixes> m_recentPrefixes; ///< By engine.
};

}
