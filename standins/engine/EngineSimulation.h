#pragma once

#include "PrefixCache.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

namespace borageslip::standin {

/** Simulates a model engine with continuous batching: each tick produces one token for every running stream that has
    finished its prefill.

    Thread-safe. Times in records are microseconds since the Unix epoch. */
class EngineSimulation {
public:
    struct Settings {
        std::string engine = "engine";
        std::string region;
        std::vector<std::string> models;
        size_t slots = 32;
        size_t queueLimit = 1000;
        std::chrono::microseconds tokenTime { 43'000 };
        double batchSlowdown = 0; ///< Relative increase of the tick duration from an empty to a full batch.
        std::chrono::microseconds prefillPerToken { 100 };
        std::chrono::milliseconds reportLag { 0 };
        std::chrono::milliseconds orderTime { 0 };
        std::chrono::seconds finishedRunRetention { 60 };
        bool checksFencing = false;
        PrefixCache::Settings cache;
    };

    /** Faults that control() switches while the engine runs. */
    struct Faults {
        double slowFactor = 1;
        bool isSilent = false;
        bool isRefusing = false;
        bool isDropping = false;
        bool isLeaving = false;
        bool acceptsWhileLeaving = false;
        std::chrono::milliseconds flapPeriod { 0 }; ///< The engine alternates between reachable and unreachable for this long each; 0 disables it.
        uint64_t silenceEpoch = 0; ///< Incremented to silence all open streams permanently; later streams work.
    };

    struct Submission {
        std::string requestId;
        std::string answerSeed;
        std::string chat;
        std::string model;
        int priority = 5;
        uint64_t promptTokens = 1;
        uint64_t completionTokens = 1;
    };

    enum class RunState {
        Waiting,
        Running,
        Finished,
        Cancelled,
    };

    struct Run {
        Submission submission;
        RunState state = RunState::Waiting;
        uint64_t arrival = 0;
        uint64_t produced = 0;
        uint64_t delivered = 0; ///< Number of tokens written to the connection that got furthest.
        uint64_t cachedTokens = 0;
        SteadyTime prefilledAt;
        SteadyTime endedAt;
        int64_t acceptedMicroseconds = 0;
        int64_t startMicroseconds = 0; ///< 0 until the run starts.
        int64_t endMicroseconds = 0;
        size_t runningAtStart = 0;
    };

    struct Progress {
        RunState state;
        uint64_t produced;
        uint64_t cachedTokens;
    };

    struct Refusal {
        std::string reason; ///< "leaving", "full", "model" or "unknown-run".
    };

    explicit EngineSimulation(Settings);
    ~EngineSimulation();
    EngineSimulation(const EngineSimulation&) = delete;
    EngineSimulation& operator=(const EngineSimulation&) = delete;

    enum class Mode {
        Start,
        Resume,
    };

    /** Queues a run, or returns the existing run with the same request id if it is still retained.

        With Mode::Resume an unknown request id is refused; a new run is never started. */
    std::variant<std::shared_ptr<Run>, Refusal> submit(const Submission&, Mode);

    /** Waits until the run has produced more than `offset` tokens, has ended, or the timeout expires. */
    Progress waitForProgress(const Run&, uint64_t offset, std::chrono::milliseconds) const;

    void recordDelivered(Run&, uint64_t tokens);

    /** Cancels a waiting or running run. Returns false if the request id is unknown or the run has already ended. */
    bool cancel(const std::string& requestId);

    /** Returns the number of waiting and running runs. */
    size_t runsInProgress() const;

    /** Returns the most recent load report that is at least `reportLag` old, or the oldest one retained. */
    nlohmann::json loadReport() const;
    nlohmann::json cacheEvents(uint64_t from) const;
    nlohmann::json records() const;
    void clearRecords();

    /** Executes an order and returns its state, "done" or "running".

        Returns std::nullopt if `checksFencing` is set and a higher fencing number was received before. */
    std::optional<std::string> order(const nlohmann::json& body, uint64_t fencingNumber);

    std::optional<uint64_t> exportPrefix(const std::string& chat) const;
    void importPrefix(const std::string& chat, uint64_t tokens);

    Faults faults() const;
    bool isUnreachable() const;

    /** Applies the faults present in the object and returns the active faults. The stand-in's `--help` lists the names. */
    nlohmann::json control(const nlohmann::json& changes);

    const Settings& settings() const { return m_settings; }

private:
    struct Report {
        SteadyTime at;
        size_t running;
        size_t waiting;
        bool isLeaving;
        std::vector<std::string> models;
        std::string role;
    };
    struct PendingOrder {
        SteadyTime doneAt;
    };
    using WaitingKey = std::pair<int, uint64_t>; // Priority and arrival number; the lowest runs first.

    void runBatchLoop();
    void tick(SteadyTime now);
    void startWaiting(SteadyTime now);
    void finish(Run&, RunState, SteadyTime now);
    void removeExpiredRuns(SteadyTime now);
    void report(SteadyTime now);
    void applyOrders(SteadyTime now);
    bool isInEffect(const nlohmann::json& order) const;
    std::chrono::microseconds tickTime() const;
    void recordRefusal(const Submission&, const std::string& reason);

    const Settings m_settings;
    const SteadyTime m_startedAt;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    Faults m_faults;
    PrefixCache m_cache;
    std::set<std::string> m_models;
    std::map<std::string, std::string> m_versions; ///< Version set by the last load order, by model.
    std::set<std::string> m_adapters;
    std::string m_role = "general";
    std::unordered_map<std::string, std::shared_ptr<Run>> m_runs; // By request id: waiting, running and recently ended runs.
    std::map<WaitingKey, std::shared_ptr<Run>> m_waiting;
    std::vector<std::shared_ptr<Run>> m_running;
    std::deque<std::shared_ptr<Run>> m_ended;
    std::vector<std::shared_ptr<Run>> m_recorded;
    std::deque<Report> m_reports;
    std::map<std::string, PendingOrder> m_orders;
    nlohmann::json m_refusals = nlohmann::json::array();
    nlohmann::json m_stateChanges = nlohmann::json::array();
    nlohmann::json m_orderRecords = nlohmann::json::array();
    uint64_t m_highestFencing = 0;
    uint64_t m_arrivals = 0;
    size_t m_maxRunning = 0;
    bool m_isStopping = false;
    std::thread m_thread;
};

}
