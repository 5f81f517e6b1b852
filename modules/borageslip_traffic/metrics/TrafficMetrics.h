#pragma once

#include "../engine/TrafficEngine.h"
#include "../peers/PeerLink.h"

#include <functional>
#include <prometheus/metric_family.h>
#include <string>
#include <vector>

namespace borageslip {

/** Exports the metrics of one instance in the Prometheus format.

    Values are read at collection, so that the traffic path only increments counters. Call it from the event loop only.
    @see docs/METRICS-ENTRY.md */
class TrafficMetrics {
public:
    TrafficMetrics(TrafficEngine&, const PeerLink&);

    /** Sets the delay with which the event loop last ran a timer. */
    void recordLoopLag(Duration lag) { m_loopLag = lag; }

    /** Adds a metric family of another component, which is read at each collection. */
    using Source = std::function<prometheus::MetricFamily()>;
    void addSource(Source source) { m_sources.push_back(std::move(source)); }

    std::vector<prometheus::MetricFamily> collect() const;

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const;

private:
    std::vector<prometheus::MetricFamily> trafficFamilies() const;

    TrafficEngine& m_engine;
    const PeerLink& m_peers;
    Duration m_loopLag {};
    std::vector<Source> m_sources;
};

}
