#pragma once

#include "../engine/TrafficEngine.h"
#include "../peers/PeerLink.h"

#include <prometheus/metric_family.h>
#include <string>
#include <vector>

namespace borageslip {

/** What an instance on the platform shows of itself. Values are read when they are asked for, so that the traffic path
    pays for counting only. Call it from the event loop.
    @see docs/METRICS-ENTRY.md */
class TrafficMetrics {
public:
    TrafficMetrics(TrafficEngine&, const PeerLink&);

    /** Records how late the event loop served a timer. */
    void recordLoopLag(Duration lag) { m_loopLag = lag; }

    std::vector<prometheus::MetricFamily> collect() const;

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const;

private:
    TrafficEngine& m_engine;
    const PeerLink& m_peers;
    Duration m_loopLag {};
};

}
