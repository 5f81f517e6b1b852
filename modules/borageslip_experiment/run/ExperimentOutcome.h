#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace borageslip {

/** Number of requests of one class by their outcome, as the callers see it. */
struct ClassOutcome {
    int offered = 0; ///< All requests; retries after a rejection are not counted again.
    int onTime = 0; ///< First token within the latency objective, and completed before the deadline.
    int late = 0; ///< Completed before the deadline, but with the first token after the latency objective.
    int timedOut = 0; ///< The deadline passed while the request was waiting or running.
    int rejected = 0; ///< Rejected at the last call of the caller.
    int failed = 0; ///< The engine failed or crashed, and the request was not retried with success.
    int gaveUp = 0; ///< The caller disconnected before the deadline.
    int64_t tokensDelivered = 0; ///< Output tokens of the requests that were completed, on time or late.

    double onTimeShare() const { return offered == 0 ? 1 : static_cast<double>(onTime) / offered; }
};

/** Result of one run of an experiment. */
struct ExperimentOutcome {
    std::map<std::string, ClassOutcome> classes; ///< Keyed by "account/class"; without the requests of the warm-up.
    int64_t tokensGenerated = 0;
    int64_t tokensPrefilled = 0;
    int64_t tokensPrefillWasted = 0; ///< For requests that were not completed, or again after a preemption.
    int64_t tokensReused = 0;
    int64_t tokensShareable = 0;
    int64_t tokensLeast = 0; ///< Prefilled when each prefix is prefilled once and each own prompt part of the requests sent.
    int rejections = 0; ///< All rejections, including those of callers that were served after a retry.
    int retries = 0; ///< Requests sent to another engine after a failure.
    int preemptions = 0;
    int denials = 0; ///< By coordinators.
    double busiestOverMean = 0; ///< Requests at the busiest engine over the mean of all engines in each second, averaged.
    double busiestOverMeanHighest = 0; ///< Of the worst second.
    double firstTokenP50 = 0; ///< Milliseconds from the first arrival, of all requests that got a first token.
    double firstTokenP99 = 0;
    double completionP99 = 0; ///< Milliseconds from the first arrival to the last token.

    ClassOutcome total() const;
    double reuseShare() const { return tokensShareable == 0 ? 1 : static_cast<double>(tokensReused) / static_cast<double>(tokensShareable); }
    double prefillFactor() const { return tokensLeast == 0 ? 1 : static_cast<double>(tokensPrefilled) / static_cast<double>(tokensLeast); }
    double wastedPrefillShare() const { return tokensPrefilled == 0 ? 0 : static_cast<double>(tokensPrefillWasted) / static_cast<double>(tokensPrefilled); }
};

}
