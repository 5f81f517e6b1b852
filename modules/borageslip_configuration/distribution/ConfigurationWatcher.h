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

/** Key of the fleet configuration in the store. The key's modification index is the configuration's revision. */
inline constexpr std::string_view configurationKey = "borageslip/configuration";

/** Updates the ConfigurationHolder from the store and from peers.

    A few members of each region, chosen by rendezvous hashing, watch the store. The others fetch the document from a
    peer when gossip shows a higher revision, and also read the store periodically, in case no watcher of their region
    can reach it. During an outage of the store the last document stays active.
    Thread-safe. The steps are public so that tests can run them one by one; start() runs them on two threads. */
class ConfigurationWatcher {
public:
    struct Settings {
        MemberId self;
        Region region;
        uint64_t seed = 0; ///< Seed of the jitter; differs between members.
        size_t watchersPerRegion = 3;
        // Limits how long stop() waits for a running watch.
        std::chrono::milliseconds watchTimeout { 5000 };
        // During a burst of changes one read after this delay fetches the newest, so that few documents are parsed.
        std::chrono::milliseconds coalesceDelay { 100 };
        std::chrono::milliseconds initialBackoff { 200 };
        std::chrono::milliseconds maxBackoff { 5000 };
        // Spreads the fetches after a change, so that a watcher does not send to its whole region at once.
        std::chrono::milliseconds maxPullJitter { 500 };
        // 330 daemons that each read twice a minute cause 11 reads a second.
        std::chrono::milliseconds storePollInterval { 30000 };
    };

    struct FetchedDocument {
        uint64_t revision = 0;
        std::string document;
    };

    class Peers {
    public:
        virtual ~Peers() = default;
        /** Fetches the document of a peer. May block.
            @param held the active configuration here, against which the peer may send a difference; null for none. */
        virtual Result<FetchedDocument> fetchFromPeer(const MemberId&, const AppliedConfiguration* held) = 0;
    };

    ConfigurationWatcher(Settings, const Clock&, KeyValueStore&, Peers&, ConfigurationHolder&);
    ~ConfigurationWatcher();
    ConfigurationWatcher(const ConfigurationWatcher&) = delete;
    ConfigurationWatcher& operator=(const ConfigurationWatcher&) = delete;

    /** Returns the members of a region that watch the store, in descending order of their rendezvous score. */
    static std::vector<MemberId> selectWatchers(const Region&, std::span<const MemberId> members, size_t count);

    /** Sets the live members of this region, from which the watchers are selected. This member is added if missing. */
    void setRegionMembers(std::span<const MemberId>);
    /** Records the revision that gossip reports for a peer of any region. */
    void setPeerRevision(const MemberId&, uint64_t revision);
    void removePeer(const MemberId&);

    bool isWatching() const;

    /** Watches the store once if this member is a watcher. Returns the time to wait before the next call. */
    std::chrono::milliseconds watchStep();
    /** Fetches from a peer that has a higher revision, or else reads the store if a read is due. Returns the time to
        wait before the next call. */
    std::chrono::milliseconds pullStep();

    void start();
    void stop();

private:
    using Step = std::chrono::milliseconds (ConfigurationWatcher::*)();

    void run(Step);
    /** Applies a document. Returns false if it is invalid, true if it or a newer one is active. */
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
