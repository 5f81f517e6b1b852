#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace borageslip::standin {

using SteadyTime = std::chrono::steady_clock::time_point;

/** Key-value store with compare-and-swap, locks and sessions that follow the Consul API. Thread-safe. */
class PlatformStore {
public:
    struct Entry {
        std::string value;
        uint64_t modifyIndex = 0;
        uint64_t createIndex = 0;
        uint64_t lockIndex = 0;
        std::string session;
    };

    using Entries = std::vector<std::pair<std::string, Entry>>;

    struct ReadResult {
        Entries entries;
        uint64_t index = 1;
    };

    enum class Scope {
        Key,
        Prefix,
    };

    enum class LockOutcome {
        Done,
        Denied,
        UnknownSession,
    };

    enum class Behavior {
        Release,
        Delete,
    };

    PlatformStore();
    ~PlatformStore();
    PlatformStore(const PlatformStore&) = delete;
    PlatformStore& operator=(const PlatformStore&) = delete;

    /** Reads a key or prefix after its index exceeds `afterIndex` or the wait time expires.

        @param afterIndex 0 reads without waiting. */
    ReadResult read(const std::string& key, Scope, uint64_t afterIndex, std::chrono::milliseconds wait) const;

    /** Writes a value. Returns false if the key does not have the expected index.

        @param expectedIndex std::nullopt writes unconditionally; 0 writes only if the key does not exist. */
    bool write(const std::string& key, std::string_view value, std::optional<uint64_t> expectedIndex);
    bool remove(const std::string& key, Scope, std::optional<uint64_t> expectedIndex);
    LockOutcome acquire(const std::string& key, std::string_view value, const std::string& session);
    LockOutcome release(const std::string& key, std::string_view value, const std::string& session);

    /** Creates a session and returns its id.

        @param timeToLive zero creates a session that never expires. */
    std::string createSession(std::chrono::milliseconds timeToLive, std::chrono::milliseconds lockDelay, Behavior);
    bool renewSession(const std::string& session);
    void destroySession(const std::string& session);

    size_t sessions() const;

private:
    struct Session {
        std::chrono::milliseconds timeToLive;
        std::chrono::milliseconds lockDelay;
        Behavior behavior;
        SteadyTime expires;
    };

    void expireSessions();
    void invalidate(std::map<std::string, Session>::iterator, SteadyTime now);
    uint64_t indexOf(const std::string& key, Scope) const;
    void change(Entry&, std::string_view value);

    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    uint64_t m_index = 1;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, uint64_t> m_removalIndexes; ///< Index of the last removal, by key.
    std::map<std::string, SteadyTime> m_lockDelays;
    std::map<std::string, Session> m_sessions;
    uint64_t m_sessionNumber = 0;
    bool m_isStopping = false;
    std::thread m_expiryThread;
};

}
