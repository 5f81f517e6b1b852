#pragma once

#include "Metrics.h"
#include "ObjectiveTracker.h"

namespace borageslip {

/** Counts which events of one call met or missed the objectives that apply to it. Use it on one thread only.

    Counts are buffered and added to the tracker every few seconds and at the end of the call, so that no lock is taken for
    each token. */
class ObjectiveMeter {
public:
    ObjectiveMeter(ObjectiveTracker&, Metrics&, ObjectiveCaller, TimePoint receivedAt);
    ObjectiveMeter(const ObjectiveMeter&) = delete;
    ObjectiveMeter& operator=(const ObjectiveMeter&) = delete;

    void setEngine(const EngineId& engine) { m_engine = engine.text(); }

    /** Records a token, or the complete response of a plain service. */
    void token(TimePoint now);

    /** Records the end of the call. Repeated calls do nothing. */
    void ended(std::optional<ErrorKind> failure, TimePoint now);

private:
    struct PendingCounts {
        size_t index = 0;
        std::optional<Duration> firstToken;
        std::optional<Duration> betweenTokens;
        ObjectiveCounts counts;
    };

    void flush(TimePoint now, std::string_view cause);

    ObjectiveTracker& m_tracker;
    Metrics& m_metrics;
    const ObjectiveCaller m_caller;
    const TimePoint m_receivedAt;
    const ObjectiveTracker::Objectives m_objectives;
    std::vector<PendingCounts> m_pendingCounts;
    std::string m_engine;
    std::optional<TimePoint> m_lastTokenAt;
    TimePoint m_nextFlush;
    bool m_hasEnded = false;
};

}
