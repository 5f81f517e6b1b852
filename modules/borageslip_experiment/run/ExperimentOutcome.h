#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace borageslip {

/** How the requests of one class fared, from the callers' side. */
struct ClassOutcome {
    int offered = 0; ///< Callers' requests; a caller that returns after a rejection is still one.
    int onTime = 0; ///< First token within the objective, and whole within the time limit.
    int late = 0; ///< Whole within the time limit, but with the first token after the objective.
    int timedOut = 0; ///< The time limit passed while it was waiting or running.
    int rejected = 0; ///< Ended with a rejection.
    int failed = 0; ///< Ended with an answer that was lost or broken.
    int gaveUp = 0; ///< The caller gave up.
    int64_t tokensDelivered = 0; ///< Generated for requests that were on time or late.

    double onTimeShare() const { return offered == 0 ? 1 : static_cast<double>(onTime) / offered; }
};

/** What one run of an experiment measured. */
struct ExperimentOutcome {
    std::map<std::string, ClassOutcome> classes; ///< By "account/class".
    int64_t tokensGenerated = 0;
    int64_t tokensPrefilled = 0;
    int64_t tokensPrefillWasted = 0; ///< For requests without a whole answer, or again after a preemption.
    int64_t tokensReused = 0;
    int64_t tokensShareable = 0;
    int rejections = 0; ///< All of them, also of callers that were served later.
    int retries = 0; ///< Requests sent to a further engine.
    int preemptions = 0;

    ClassOutcome total() const;
    double reuseShare() const { return tokensShareable == 0 ? 1 : static_cast<double>(tokensReused) / static_cast<double>(tokensShareable); }
    double wastedPrefillShare() const { return tokensPrefilled == 0 ? 0 : static_cast<double>(tokensPrefillWasted) / static_cast<double>(tokensPrefilled); }
};

}
