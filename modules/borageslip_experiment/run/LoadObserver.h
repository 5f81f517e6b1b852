#pragma once

#include "ExperimentOutcome.h"

#include <borageslip_core/time/Clock.h>

#include <span>
#include <vector>

namespace borageslip {

/** Measures the load of the busiest engine over the mean of all engines in each second, and callers' latencies. */
class LoadObserver {
public:
    static constexpr Duration sampleInterval = std::chrono::milliseconds(50);

    explicit LoadObserver(size_t engines)
        : m_sums(engines)
    {
    }

    /** Adds a sample of the requests at each engine; closes a second with the last of its samples. */
    void sample(std::span<const int> inFlight);
    void recordFirstToken(Duration sinceArrival) { m_firstTokens.push_back(toMilliseconds(sinceArrival)); }
    void recordCompletion(Duration sinceArrival) { m_completions.push_back(toMilliseconds(sinceArrival)); }

    void writeTo(ExperimentOutcome&);

private:
    static double toMilliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

    std::vector<int64_t> m_sums; ///< Of the current second, by engine.
    int m_samples = 0;
    std::vector<double> m_ratios; ///< By second.
    std::vector<double> m_firstTokens;
    std::vector<double> m_completions;
};

}
