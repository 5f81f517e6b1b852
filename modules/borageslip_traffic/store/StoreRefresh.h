#pragma once

#include <borageslip_core/time/Clock.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** Address of the instance to read from; nothing for the store itself. */
using StoreSource = std::optional<boost::asio::ip::tcp::endpoint>;

/** Name of a source in logs. */
std::string storeSourceName(const StoreSource&);

/** What an instance knows of the store's keys. */
struct StoreKnowledge {
    uint64_t version = 0; ///< In force; 0 for none.
    TimePoint confirmedAt {}; ///< When the version in force was the newest one in the store.
    Duration readTime {}; ///< Expected for the transfer of a configuration; the next source is asked that much later.
    uint64_t knownRevision = 0; ///< Store revision up to which the evacuations are known.
    std::optional<TimePoint> serversConfirmedAt {}; ///< When the known list of backend servers was the one in the store; nothing before it was first read.
};

/** The keys that are read. */
enum class ReadScope {
    OperatorKeys, ///< The configuration and the evacuations.
    AllKeys, ///< The list of backend servers, too.
};

/** A read from one source. */
struct StoreRead {
    StoreSource source;
    ReadScope scope = ReadScope::OperatorKeys;
    bool includesLargeValue = false; ///< Whether the source sends the configuration even if it is large.
};

/** How such a read ended. */
enum class StoreReadResult {
    Fresh, ///< The source has answered with data that is fresh enough.
    ValueOmitted, ///< The source has a newer configuration and left it out because it is large.
    Failed, ///< No answer in time, an error, or data that is out of date.
};

/** Decides when an instance reads the store's keys besides its regular polls, and from which sources.

    A read is due when another instance has a newer version in force or knows of a change of the evacuations, and the
    regular poll has not brought it, or when the knowledge of the configuration or of the backend servers is older than a
    part of the time within which their changes must take effect. Reads are hedged: while one has no answer, the next source
    is asked after a short time, so that the time until a change takes effect depends neither on the silence of single
    sources nor on their number.

    Does no I/O: time and state are passed in. Not thread-safe.
    @see rankedStoreSources */
class StoreRefresh {
public:
    /** @param ownName spreads the reads of the instances over the sources.
        @param maxDelay time within which a change of the configuration or of the evacuations must take effect.
        @param maxServerDelay time within which requests must no longer be sent to a server that leaves. */
    StoreRefresh(std::string_view ownName, Duration maxDelay, Duration maxServerDelay);

    /** Age of the knowledge from which it has to be confirmed, if its changes must take effect within a time. */
    static Duration maxAge(Duration maxDelay);

    /** Whether a newer state than the known one was announced, or the known one is not confirmed. */
    bool needsRead(const StoreKnowledge& knowledge, TimePoint now) const { return isBehind(knowledge) || isOutdated(knowledge, now); }

    /** Records that an instance has a version in force. */
    void recordAnnouncement(const boost::asio::ip::tcp::endpoint& instance, uint64_t version, uint64_t versionInForce, TimePoint now);

    /** Records that an instance knows of a change of the evacuations. @param revision of the change in the store. */
    void recordEvacuation(const boost::asio::ip::tcp::endpoint& instance, uint64_t revision);

    /** Revision of the latest change of the evacuations that another instance has announced. */
    uint64_t newestEvacuation() const { return m_newestEvacuation; }

    /** Forgets the announced changes of the evacuations: the store has gone back to a revision before them. */
    void forgetEvacuations();

    /** Forgets what the instances have announced, because the store came back from an older copy that may lack those
        versions. Instances that still have them in force announce them again in their reports. */
    void forgetAnnouncements();

    /** The newest version that another instance has announced. */
    uint64_t newestAnnounced() const { return m_newestAnnounced; }

    /** The read that is due now, which counts as begun; nothing when none is due.
        @param ranked sources in order of preference.
        @param polled the source of the regular polls; asked last, since its answer is awaited already.
        @param instanceCount delays the reads after an announcement, so that not all instances read at once. */
    std::optional<StoreRead> next(const StoreKnowledge&, std::span<const StoreSource> ranked, const StoreSource& polled, size_t instanceCount, TimePoint now);

    void recordResult(const StoreSource&, StoreReadResult, TimePoint now);

    /** Time of the next call of next(). */
    TimePoint nextCheck(const StoreKnowledge&, size_t instanceCount, TimePoint now) const;

private:
    /** What an instance has announced. */
    struct Announced {
        uint64_t version = 0;
        uint64_t evacuation = 0; ///< Revision.

        bool isAheadOf(const StoreKnowledge& knowledge) const { return version > knowledge.version || evacuation > knowledge.knownRevision; }
    };

    bool isBehind(const StoreKnowledge& knowledge) const { return Announced { m_newestAnnounced, m_newestEvacuation }.isAheadOf(knowledge); }
    bool isOutdated(const StoreKnowledge& knowledge, TimePoint now) const { return now > outdatedAt(knowledge); }
    bool areServersOutdated(const StoreKnowledge& knowledge, TimePoint now) const { return knowledge.serversConfirmedAt && now - *knowledge.serversConfirmedAt > m_maxServersAge; }
    TimePoint outdatedAt(const StoreKnowledge&) const;
    TimePoint dueAt(const StoreKnowledge&, size_t instanceCount) const;
    std::vector<StoreSource> candidates(const StoreKnowledge&, std::span<const StoreSource> ranked, const StoreSource& polled, TimePoint now) const;
    Announced& announcedBy(const boost::asio::ip::tcp::endpoint& instance);
    void endRound(TimePoint now);
    void trackAwaited(const StoreKnowledge&, TimePoint now);

    uint64_t m_ownHash;
    Duration m_maxAge; ///< Of the knowledge of the operators' keys.
    Duration m_maxServersAge;
    uint64_t m_newestAnnounced = 0;
    uint64_t m_newestEvacuation = 0; ///< Revision.
    Announced m_awaited; ///< What the regular poll is to bring.
    TimePoint m_awaitedSince {};
    std::map<boost::asio::ip::tcp::endpoint, Announced> m_announcers;
    std::vector<StoreSource> m_asked; ///< In the current round.
    size_t m_outstanding = 0;
    TimePoint m_nextReadAt {};
    int m_failedRounds = 0;
    bool m_isValueOmitted = false; ///< Whether an instance left out the configuration in the current round.
};

}
