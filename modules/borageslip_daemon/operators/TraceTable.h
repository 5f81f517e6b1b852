#pragma once

#include "../entry/RouteListener.h"

#include <borageslip_core/borageslip_core.h>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>

namespace borageslip {

/** Record of the routing decisions for one chat request. Contains the hash of the chat, but no keys and no prompt. */
struct DecisionTrace {
    struct Step {
        std::chrono::microseconds sinceReceived {};
        RouteStep step;
    };

    RequestId request;
    AccountId account;
    ModelId model;
    ChatKey chat;
    int priority = 5;
    std::chrono::system_clock::time_point receivedAt;
    std::vector<EngineId> candidates; ///< In order of rank.
    std::vector<Step> steps;
    size_t omittedSteps = 0;
    std::string outcome; ///< "ok" or the name of an error kind.
    std::string detail; ///< Detail of the error; empty on success.
    std::optional<std::chrono::microseconds> firstToken;
    std::chrono::microseconds total {};

    nlohmann::json toJson() const;
};

/** Keeps the newest decision traces within a memory limit in bytes. Thread-safe.

    Traces are stored as JSON text, so that their size is known exactly. A trace takes less than a kilobyte. */
class TraceTable {
public:
    explicit TraceTable(size_t maxBytes);

    void add(const DecisionTrace&);

    /** Returns the trace of a request, or no value if there is none or it has been evicted. */
    std::optional<nlohmann::json> find(const std::string& request) const;

    size_t bytes() const;

private:
    struct Entry {
        std::string request;
        std::string text;
    };

    static size_t entryBytes(const Entry&);

    const size_t m_maxBytes;
    mutable std::mutex m_mutex;
    std::list<Entry> m_entries; ///< Oldest first.
    std::unordered_map<std::string, std::list<Entry>::const_iterator> m_byRequest;
    size_t m_bytes = 0;
};

/** Collects the trace of one call and adds it to the table when the call ends. Use it on one thread at a time. */
class TraceRecorder final : public RouteListener {
public:
    TraceRecorder(TraceTable&, const Clock&, TimePoint receivedAt);

    /** Sets the identity of the call. Without it, ended() adds no trace. */
    void identified(const RequestId&, const AccountId&, const ModelId&, ChatKey, int priority);

    void candidatesRanked(const std::vector<EngineId>&) override;
    void routeStep(const RouteStep&) override;
    void firstToken();

    /** Adds the trace to the table. Repeated calls do nothing. */
    void ended(const std::optional<Error>&);

private:
    std::chrono::microseconds sinceReceived() const;

    TraceTable& m_table;
    const Clock& m_clock;
    const TimePoint m_receivedAt;
    DecisionTrace m_trace;
    bool m_hasEnded = false;
};

}
