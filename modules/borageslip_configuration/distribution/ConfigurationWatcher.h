#pragma once

#include "ConfigurationHolder.h"

#include <borageslip_platform/borageslip_platform.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <span>
#include <thread>

namespace borageslip {

/** Key of the fleet configuration in the store. Its modification index is the configuration's revision. */
inline constexpr std::string_view configurationKey = "borageslip/configuration";

/** Keeps the ConfigurationHolder up to date from the store and from peers.

    A few members of each region, chosen by rendezvous hashing, watch the store; the others pull the document from a
    peer when gossip shows a higher revision. Every member also reads the store now and then, for the case that no
    watcher of its region reaches the store. During an outage the last document stays in force.
    Thread-safe. The steps are public so that tests can run them one by one; start() runs them on two threads. */
class ConfigurationWatcher {
public:
    struct Settings {
        MemberId self;
        Region region;
        uint64_t seed = 0; ///< For the jitter; differs between members.
        size_t watchersPerRegion = 3;
        // Bounds the time that stop() waits for a watch.
        std::chrono::milliseconds watchTimeout { 5000 };
        // One read of a burst of changes fetches the newest; the pause keeps the number of parsed documents low.
        std::chrono::milliseconds coalesceDelay { 100 };
        std::chrono::milliseconds initialBackoff { 200 };
        std::chrono::milliseconds maxBackoff { 5000 };
        // Spreads the pulls after a change, so that a watcher does not send to its whole region at once.
        std::chrono::milliseconds maxPullJitter { 500 };
        // 330 daemons that each read twice a minute make 11 reads a second.
        std::chrono::milliseconds storePollInterval { 30000 };
    };

    struct FetchedDocument {
        uint64_t revision = 0;
        std::string document;
    };

    class Peers {
    public:
        virtual ~Peers() = default;
        /** Fetches the document that a peer holds. May block.
            @param held the configuration in force here, to which the peer may send the difference; null for none. */
        virtual Result<FetchedDocument> fetchFromPeer(const MemberId&, const AppliedConfiguration* held) = 0;
    };

    ConfigurationWatcher(Settings, const Clock&, KeyValueStore&, Peers&, ConfigurationHolder&);
    ~ConfigurationWatcher();
    ConfigurationWatcher(const ConfigurationWatcher&) = delete;
    ConfigurationWatcher& operator=(const ConfigurationWatcher&) = delete;

    /** Returns the members of a region that watch the store, best first. */
    static std::vector<MemberId> selectWatchers(const Region&, std::span<const MemberId> members, size_t count);

    /** Takes the live members of the own region; the own identity is added. */
    void setRegionMembers(std::span<const MemberId>);
    /** Takes what gossip says about a peer of any region. */
    void setPeerRevision(const MemberId&, uint64_t revision);
    void removePeer(const MemberId&);

    bool isWatching() const;

    /** Watches the store once if this member is a watcher. Returns the time to wait before the next step. */
    std::chrono::milliseconds watchStep();
    /** Pulls from a peer when one holds a higher revision, or reads the store when that is due. Returns as above. */
    std::chrono::milliseconds pullStep();

    void start();
    void stop();

private:
    using Step = std::chrono::milliseconds (ConfigurationWatcher::*)();

    void run(Step);
    /** Returns whether the document is in force or older than the one in force. */
    bool applyDocument(uint64_t revision, std::string_view document, std::string_view source);
    bool applyReading(const Result<StoreReading>&);
    std::vector<MemberId> peersWithNewest() const;
    std::chrono::milliseconds nextBackoff(std::chrono::milliseconds& backoff);
    std::chrono::milliseconds jitter(std::chrono::milliseconds longest);

    const Settings m_settings;
    const Clock& m_clock;
    KeyValueStore& m_store;
    Peers& m_peers;
    ConfigurationHolder& m_holder;

    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopped = false;
    bool m_isWatching = true;
    uint64_t m_wakeUpCount = 0;
    std::map<MemberId, uint64_t> m_peerRevisions;
    std::optional<TimePoint> m_nextPullAt;
    TimePoint m_nextPollAt;
    uint64_t m_lastIndex = 0;
    uint64_t m_invalidRevision = 0;
    std::chrono::milliseconds m_watchBackoff;
    std::chrono::milliseconds m_pullBackoff;
    std::mt19937_64 m_random;
    std::vector<std::thread> m_threads;
};

}
