#pragma once

#include "../pattern/LoadPattern.h"

#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <vector>

namespace borageslip {

/** A request as an engine sees it. */
struct EngineJob {
    uint64_t id = 0;
    uint64_t prefix = 0; ///< Identity of the shared beginning of its prompt; 0 for none.
    int64_t prefixTokens = 0;
    int64_t promptTokens = 0; ///< Of its own part.
    int64_t outputTokens = 1;
};

/** What an engine's step did for one request. */
struct StepOutput {
    uint64_t id = 0;
    bool isFirstToken = false;
    bool isFinished = false;
};

/** An engine that works in steps: each step reads a chunk of the waiting prompts and generates one token for each
    request of the batch. Running requests and cached prompt beginnings share its memory; when it is full, the least
    recently used beginnings go, and then the youngest request is preempted and read in again later.

    The model of the experiments; the emulated engine of the system tests is standins/engine. */
class EngineModel {
public:
    explicit EngineModel(const EngineModelSettings&);

    void submit(const EngineJob&);

    /** Drops a request whose caller has gone or whose time has passed. */
    void cancel(uint64_t id);

    /** Ends everything, as a crash does, and returns the requests that were lost with the prompt tokens that were read
        in for each. */
    std::vector<std::pair<uint64_t, int64_t>> crash();

    bool isIdle() const { return m_running.empty() && m_waiting.empty(); }

    /** Carries out one step. @param duration set to the time that it takes. */
    std::span<const StepOutput> step(Duration& duration);

    void setStepTimeFactor(double factor) { m_stepTimeFactor = factor; }

    /** Tokens of prompts read in, of them again after a preemption, and shared tokens found in the cache. */
    struct Counts {
        int64_t prefilled = 0;
        int64_t recomputed = 0;
        int64_t reused = 0;
        int64_t shareable = 0;
        int64_t generated = 0;
        int preemptions = 0;
    };
    const Counts& counts() const { return m_counts; }

    /** Prompt tokens that were read in for a request so far; of a running one only. */
    int64_t prefilledFor(uint64_t id) const;

private:
    struct Sequence {
        EngineJob job;
        int64_t promptTokensLeft = 0;
        int64_t prefilledTokens = 0;
        int64_t generated = 0;
        bool wasPreempted = false;
        bool hasDeliveredFirstToken = false; ///< Its first token was delivered before a preemption.

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
    std::list<std::pair<uint64_t, int64_t>> m_cached; ///< Prompt beginnings and their tokens, least recently used first.
    int64_t m_cachedTokens = 0;
    std::vector<StepOutput> m_output;
    Counts m_counts;
    double m_stepTimeFactor = 1;
};

}
