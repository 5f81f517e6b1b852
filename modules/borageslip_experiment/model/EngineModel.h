#pragma once

#include "../pattern/LoadPattern.h"

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <vector>

namespace borageslip {

/** A request submitted to a modelled engine. */
struct EngineJob {
    uint64_t id = 0;
    uint64_t prefix = 0; ///< Identifies the shared prompt prefix; 0 for none.
    int64_t prefixTokens = 0;
    int64_t promptTokens = 0; ///< Without the shared prefix.
    int64_t outputTokens = 1;
};

/** Result of one engine step for a request that generated a token. */
struct StepOutput {
    uint64_t id = 0;
    bool isFirstToken = false;
    bool isFinished = false;
};

/** Simulates an inference engine with continuous batching and chunked prefill.

    Each step prefills up to one chunk of prompt tokens and generates one token for each prefilled request of the batch.
    Running requests and cached prompt prefixes share the memory. When it is full, the least recently used prefixes are
    evicted first; after that the youngest request is preempted and prefilled again later.

    Used by PolicyExperiment only; the system tests use the emulated engine in standins/engine. */
class EngineModel {
public:
    explicit EngineModel(const EngineModelSettings&);

    void submit(const EngineJob&);

    /** Removes a running or waiting request, for example after its caller disconnected or its deadline passed. */
    void cancel(uint64_t id);

    /** Drops all requests and cached prefixes, as a crash does.
        @return the id of each lost request and the number of its prompt tokens that were prefilled */
    std::vector<std::pair<uint64_t, int64_t>> crash();

    bool isIdle() const { return m_running.empty() && m_waiting.empty(); }

    /** Executes one step. The result is valid until the next step.
        @param duration set to the simulated time that the step takes */
    std::span<const StepOutput> step(Duration& duration);

    void setStepTimeFactor(double factor) { m_stepTimeFactor = factor; }

    /** Totals since construction, in tokens except for the preemptions. */
    struct Counts {
        int64_t prefilled = 0; ///< Includes the recomputed tokens.
        int64_t recomputed = 0; ///< Prefilled again after a preemption.
        int64_t reused = 0; ///< Shared prefix tokens found in the cache.
        int64_t shareable = 0; ///< Shared prefix tokens of all submitted requests.
        int64_t generated = 0;
        int preemptions = 0;
    };
    const Counts& counts() const { return m_counts; }

    /** Prompt tokens prefilled so far for a running request; 0 for any other. */
    int64_t prefilledFor(uint64_t id) const;

private:
    struct Sequence {
        EngineJob job;
        int64_t promptTokensLeft = 0;
        int64_t prefilledTokens = 0;
        int64_t generated = 0;
        bool wasPreempted = false;
        bool hasDeliveredFirstToken = false; ///< The first token was delivered before a preemption.

        int64_t tokensHeld() const { return prefilledTokens + generated; }
    };

    void admitWaiting();
    void prepare(Sequence&);
    int64_t prefill();
    void generate();
    void evictAndPreempt();
    int64_t memoryUsed() const;
    void cachePrefix(const EngineJob&);

    EngineModelSettings m_settings;
    std::list<Sequence> m_running; ///< Oldest first.
    std::deque<Sequence> m_waiting;
    std::list<std::pair<uint64_t, int64_t>> m_cached; ///< Prefix and its number of tokens, least recently used first.
    int64_t m_cachedTokens = 0;
    std::vector<StepOutput> m_output;
    Counts m_counts;
    double m_stepTimeFactor = 1;
};

}
