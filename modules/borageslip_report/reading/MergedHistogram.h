#pragma once

#include <borageslip_core/borageslip_core.h>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** A histogram with cumulative counts, parsed from the Prometheus text format and summed over instances.

    The sum is exact because only histograms with the same bucket boundaries are added. */
class MergedHistogram {
public:
    /** Parses the histogram of this name that has no label besides `le`.
        Errors: NotFound if there is none; InvalidMessage if it is malformed. */
    static Result<MergedHistogram> parse(std::string_view metricsText, std::string_view name);

    /** Adds the counts of another histogram. An empty histogram takes over the other's boundaries.
        Errors: InvalidMessage if the boundaries differ; the histogram is then unchanged. */
    Status add(const MergedHistogram&);

    /** Returns the share of events at or below a bucket boundary; nullopt without events or if the value is not a boundary. */
    std::optional<double> shareAtOrBelow(double boundary) const;

    /** Upper bucket boundaries in seconds; the last is infinite. */
    const std::vector<double>& boundaries() const { return m_boundaries; }
    /** Number of events at or below each boundary. */
    const std::vector<uint64_t>& cumulative() const { return m_cumulative; }
    uint64_t count() const { return m_cumulative.empty() ? 0 : m_cumulative.back(); }

private:
    std::vector<double> m_boundaries;
    std::vector<uint64_t> m_cumulative;
};

}
