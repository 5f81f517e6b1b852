#include "MergedHistogram.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace borageslip {

Result<MergedHistogram> MergedHistogram::parse(std::string_view metricsText, std::string_view name)
{
    const std::string prefix = std::string(name) + "_bucket{le=\"";
    MergedHistogram histogram;
    while (!metricsText.empty()) {
        const auto end = metricsText.find('\n');
        const auto line = metricsText.substr(0, end);
        metricsText.remove_prefix(end == std::string_view::npos ? metricsText.size() : end + 1);
        if (!line.starts_with(prefix))
            continue;
        const auto label = line.substr(prefix.size());
        const auto close = label.find("\"} ");
        if (close == std::string_view::npos)
            return Error { ErrorKind::InvalidMessage, "malformed bucket line of " + std::string(name) };
        const double boundary = std::strtod(std::string(label.substr(0, close)).c_str(), nullptr);
        const double count = std::strtod(std::string(label.substr(close + 3)).c_str(), nullptr);
        const bool isAscending = histogram.m_boundaries.empty() || (boundary > histogram.m_boundaries.back() && count >= static_cast<double>(histogram.count()));
        if (!isAscending || !std::isfinite(count) || count < 0)
            return Error { ErrorKind::InvalidMessage, "the buckets of " + std::string(name) + " are not in ascending order or have an invalid count" };
        histogram.m_boundaries.push_back(boundary);
        histogram.m_cumulative.push_back(static_cast<uint64_t>(count));
    }
    if (histogram.m_boundaries.empty())
        return Error { ErrorKind::NotFound, "the metrics have no histogram " + std::string(name) };
    if (!std::isinf(histogram.m_boundaries.back()))
        return Error { ErrorKind::InvalidMessage, std::string(name) + " has no +Inf bucket" };
    return histogram;
}

Status MergedHistogram::add(const MergedHistogram& other)
{
    if (m_boundaries.empty()) {
        *this = other;
        return ok();
    }
    if (m_boundaries != other.m_boundaries)
        return Error { ErrorKind::InvalidMessage, "the histograms have different bucket boundaries" };
    for (size_t i = 0; i < m_cumulative.size(); ++i)
        m_cumulative[i] += other.m_cumulative[i];
    return ok();
}

std::optional<double> MergedHistogram::shareAtOrBelow(double boundary) const
{
    const auto found = std::find(m_boundaries.begin(), m_boundaries.end(), boundary);
    if (found == m_boundaries.end() || count() == 0)
        return std::nullopt;
    return static_cast<double>(m_cumulative[static_cast<size_t>(found - m_boundaries.begin())]) / static_cast<double>(count());
}

}
