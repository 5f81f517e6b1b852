#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageslip::standin {

using SteadyTime = std::chrono::steady_clock::time_point;

/** LRU cache of prompt prefixes by chat, bounded in tokens.

    Its events become visible after a delay, and a configurable percentage is lost. Not thread-safe. */
class PrefixCache {
public:
    struct Settings {
        uint64_t capacityTokens = 2'000'000;
        std::chrono::milliseconds eventLag { 0 };
        int eventGapPercent = 0;
        uint64_t seed = 1;
    };

    struct Event {
        uint64_t sequence;
        bool isStored; ///< False if the prefix was evicted.
        std::string chat;
        uint64_t tokens;
        SteadyTime visibleFrom;
    };

    struct Events {
        uint64_t next;
        std::vector<Event> events;
    };

    explicit PrefixCache(Settings);

    /** Returns the number of tokens cached for a chat and marks the entry as most recently used. */
    uint64_t use(const std::string& chat);

    /** Returns the number of tokens cached for a chat without changing the eviction order. */
    uint64_t tokens(const std::string& chat) const;

    void store(const std::string& chat, uint64_t tokens, SteadyTime now);
    void clear(SteadyTime now);

    /** Returns the visible events from a sequence number on, and the sequence number to continue from. */
    Events eventsFrom(uint64_t sequence, SteadyTime now) const;

    uint64_t totalTokens() const { return m_totalTokens; }

private:
    struct Entry {
        std::string chat;
        uint64_t tokens;
    };

    void publish(bool isStored, const std::string& chat, uint64_t tokens, SteadyTime now);
    void evictOldest(SteadyTime now);

    const Settings m_settings;
    std::mt19937_64 m_random;
    std::list<Entry> m_entries; // Most recently used first.
    std::unordered_map<std::string, std::list<Entry>::iterator> m_byChat;
    uint64_t m_totalTokens = 0;
    uint64_t m_nextSequence = 1;
    std::deque<Event> m_events;
};

}
