#pragma once

#include "../engine/TrafficEngine.h"
#include "../peers/PeerLink.h"

#include <functional>
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

    /** Adds a family of metrics of a part that the traffic path does not know, read at each collection. */
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
