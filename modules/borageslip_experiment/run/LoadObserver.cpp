#include "LoadObserver.h"

#include <algorithm>
#include <numeric>

namespace borageslip {

namespace {

    constexpr int samplesPerSecond = std::chrono::seconds(1) / LoadObserver::sampleInterval;

    double percentile(std::vector<double>& values, double share)
    {
        if (values.empty())
            return 0;
        const auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), position, values.end());
        return *position;
    }

}

void LoadObserver::sample(std::span<const int> inFlight)
{
    for (size_t i = 0; i < m_sums.size(); ++i)
        m_sums[i] += inFlight[i];
    if (++m_samples < samplesPerSecond)
        return;
    const auto total = std::accumulate(m_sums.begin(), m_sums.end(), int64_t { 0 });
    const auto busiest = *std::max_element(m_sums.begin(), m_sums.end());
    if (total > 0)
        m_ratios.push_back(static_cast<double>(busiest) * static_cast<double>(m_sums.size()) / static_cast<double>(total));
    std::fill(m_sums.begin(), m_sums.end(), 0);
    m_samples = 0;
}

void LoadObserver::writeTo(ExperimentOutcome& outcome)
{
    if (!m_ratios.empty()) {
        outcome.busiestOverMean = std::accumulate(m_ratios.begin(), m_ratios.end(), 0.0) / static_cast<double>(m_ratios.size());
        outcome.busiestOverMeanHighest = *std::max_element(m_ratios.begin(), m_ratios.end());
    }
    outcome.firstTokenP50 = percentile(m_firstTokens, 0.5);
    outcome.firstTokenP99 = percentile(m_firstTokens, 0.99);
    outcome.completionP99 = percentile(m_completions, 0.99);
}

}
