#pragma once

#include "../calls/CallBudget.h"
#include "KeyValueStore.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>

namespace borageslip {

/** Key-value store in memory for tests, with faults that a test switches on.

    Sessions expire by the clock given. Every call has a number, from 1 upwards, by which faults name it. Thread-safe. */
class MemoryStore final : public KeyValueStore {
public:
    /** When the answer of a call is lost. */
    enum class LostAnswer {
        BeforeEffect,
        AfterEffect,
    };

    enum class WatchMode {
        ReturnAtOnce, ///< For tests on one thread: a watch answers as if its time were over.
        Wait, ///< Waits for a change, for the clock to pass the wait, or for an outage.
    };

    explicit MemoryStore(const Clock&, WatchMode = WatchMode::ReturnAtOnce);
    MemoryStore(const MemoryStore&) = delete;
    MemoryStore& operator=(const MemoryStore&) = delete;

    /** While true, every call fails with StoreUnavailable and has no effect. */
    void setOutage(bool isDown);
    /** An outage begins once the numbered call has been answered or its answer was lost. */
    void setOutageAfterCall(uint64_t number);
    void loseAnswerOfCall(uint64_t number, LostAnswer);
    /** Ends the outage and forgets the faults that have not happened yet. */
    void clearFaults();
    /** Called before each call, outside the lock, so that a test can interleave other callers. */
    void setBeforeCall(std::function<void(uint64_t number, PlatformCall)>);
    void expireSession(std::string_view session);

    uint64_t calls() const;
    PlatformCallCounts counts() const;

    Result<StoreReading> read(std::string_view key) override;
    Result<StoreReading> watch(std::string_view key, uint64_t afterIndex, std::chrono::milliseconds wait) override;
    Result<std::vector<StoredValue>> list(std::string_view prefix) override;
    Result<uint64_t> compareAndSwap(std::string_view key, std::string_view bytes, uint64_t expectedIndex) override;
    Status remove(std::string_view key, uint64_t expectedIndex) override;
    Result<std::string> createSession(std::chrono::milliseconds timeToLive) override;
    Status renewSession(std::string_view session) override;
    Status endSession(std::string_view session) override;
    Result<uint64_t> acquire(std::string_view key, std::string_view bytes, std::string_view session) override;
    Status release(std::string_view key, std::string_view session) override;

private:
    struct Session {
        std::chrono::milliseconds timeToLive;
        TimePoint expires;
    };
    enum class Effect {
        Reads,
        Writes,
    };
    using Lock = std::unique_lock<std::mutex>;

    template <typename T>
    Result<T> perform(PlatformCall, Effect, const std::function<Result<T>(Lock&)>&);
    void expireSessions();
    void releaseLocksOf(std::string_view session);
    StoreReading readingOf(std::string_view key) const;

    const Clock& m_clock;
    const WatchMode m_watchMode;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isDown = false;
    uint64_t m_outageAfterCall = 0;
    uint64_t m_calls = 0;
    PlatformCallCounts m_counts {};
    std::map<uint64_t, LostAnswer> m_lostAnswers;
    std::function<void(uint64_t, PlatformCall)> m_beforeCall;
    uint64_t m_index = 0;
    uint64_t m_sessionNumber = 0;
    std::map<std::string, StoredValue, std::less<>> m_values;
    std::map<std::string, Session, std::less<>> m_sessions;
};

}
