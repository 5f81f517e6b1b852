#pragma once

#include "Metrics.h"
#include "ObjectiveTracker.h"

namespace borageslip {

/** Judges the events of one call by the objectives that apply to it. Used by one thread.

    Counts are kept here and added to the tracker every few seconds and at the end, so that a token costs no lock. */
class ObjectiveMeter {
public:
    ObjectiveMeter(ObjectiveTracker&, Metrics&, ObjectiveCaller, TimePoint receivedAt);
    ObjectiveMeter(const ObjectiveMeter&) = delete;
    ObjectiveMeter& operator=(const ObjectiveMeter&) = delete;

    void setEngine(const EngineId& engine) { m_engine = engine.text(); }

    /** Notes a token, or the whole answer of a plain service. */
    void token(TimePoint now);

    /** Notes the end of the call. Repeated calls do nothing. */
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
