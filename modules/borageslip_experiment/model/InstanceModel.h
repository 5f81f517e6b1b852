#pragma once

#include "CallerRequest.h"
#include "PlacementStrategy.h"

#include <borageslip_traffic/limits/FleetRetryBudget.h>
#include <borageslip_traffic/limits/PriorityReserve.h>
#include <borageslip_traffic/limits/RequestQueue.h>
#include <borageslip_traffic/placement/RecentPrefixes.h>
#include <borageslip_traffic/servers/ServerHealth.h>

namespace borageslip {

/** One instance of the fleet in an experiment: its queue, its retry budget, and what it knows of the engines. It decides
    with the policies of the product; the experiment carries its decisions out. */
class InstanceModel {
public:
    /** What an instance tells the others of one engine. */
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

    const std::vector<EngineUsage>& ownUsage() const { return m_ownUsage; }
    std::vector<EngineUsage>& peerUsage() { return m_peerUsage; }

    /** What the others know of this instance: its own use at its last report. */
    const std::vector<EngineUsage>& reportedUsage() const { return m_reportedUsage; }
    void markReported();

    /** Prompt tokens that the engine has to read for the request, as far as this instance knows. */
    int64_t uncachedTokens(size_t engine, const CallerRequest&);

    /** Counts a request's end for this instance's health of the engines and for its next report. */
    void recordResponse(size_t engine, Duration toFirstToken, TimePoint sentAt, TimePoint now);
    void recordFailure(size_t engine, TimePoint now);

    /** Takes what another instance has counted since its last report. */
    void applyPeerOutcomes(const InstanceModel& other, TimePoint now);

    /** Ejects an engine that could not be reached. */
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
    std::vector<Duration> m_ejectedUntil;
    std::vector<RecentPrefixes> m_recentPrefixes; ///< By engine.
};

}
