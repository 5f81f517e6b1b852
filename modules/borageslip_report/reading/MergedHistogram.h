#pragma once

#include <borageslip_core/borageslip_core.h>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** A histogram with cumulative counts, read from the Prometheus text format and added up over instances.

    All instances use the same boundaries, so the sum is exact. */
class MergedHistogram {
public:
    /** Reads the histogram without labels of this name. Errors: NotFound; InvalidMessage when it is malformed. */
    static Result<MergedHistogram> parse(std::string_view metricsText, std::string_view name);

    /** Errors: InvalidMessage when the boundaries differ; the histogram is then unchanged. */
    Status add(const MergedHistogram&);

    /** Returns the share of events at or below a boundary, or nothing without events or for a value that is none. */
    std::optional<double> shareAtOrBelow(double boundary) const;

    /** Upper boundaries in seconds; the last is infinite. */
    const std::vector<double>& boundaries() const { return m_boundaries; }
    /** Events at or below each boundary. */
    const std::vector<uint64_t>& cumulative() const { return m_cumulative; }
    uint64_t count() const { return m_cumulative.empty() ? 0 : m_cumulative.back(); }

private:
    std::vector<double> m_boundaries;
    std::vector<uint64_t> m_cumulative;
};

}
