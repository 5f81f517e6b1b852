#pragma once

#include "PromptFingerprint.h"

#include <borageslip_core/time/Clock.h>

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace borageslip {

/** The crash of a backend server, and the requests whose responses had not progressed. */
struct ServerCrash {
    uint64_t server = 0; ///< Hash of the server's id.
    std::vector<PromptFingerprint> suspects; ///< Of the requests; without prompts that have no shared part.

    bool operator==(const ServerCrash&) const = default;
};

/** A combination of prompt parts that is not sent to backend servers. */
struct QuarantinedPrompt {
    PromptFingerprint prompt; ///< A request that has all of these parts is quarantined.
    std::chrono::milliseconds timeLeft { 0 }; ///< Until it ends, unless a request with these parts arrives.

    bool operator==(const QuarantinedPrompt&) const = default;
};

/** Finds prompt parts that crash the backend servers which begin to answer them, from the crashes of the whole fleet and
    from the responses that proceed.

    Each crash makes the parts of the requests that were about to be answered suspects. A part is cleared when a response
    to a prompt that contains it proceeds. A part that is present at several crashes, at different times and on different
    servers, without a response in between is quarantined together with the parts that were present each time, so that
    sound requests that share some of these parts are still served; parts that are cleared later leave the combination.
    The quarantine ends after a long time without a request that has the parts; from then on a single crash renews it.

    Every instance keeps its own copy and judges by the same rules; copies converge through the messages between
    instances. Its memory is bounded: beyond the bound, the suspects with the fewest crashes are dropped first. Does no
    I/O. Not thread-safe.
    @see CrashDetector, PeerLink */
class PromptQuarantine {
public:
    explicit PromptQuarantine(const Clock& clock)
        : m_clock(clock)
    {
    }

    /** Records a crash that this or another instance has observed. */
    void recordCrash(const ServerCrash&);

    /** Records that a response to a prompt proceeds.
        @param begunAt when its body began. Suspects are cleared only by responses that began after their first crash.
        @return the parts that were cleared, of which the other instances must be notified. */
    PromptFingerprint recordProgress(const PromptFingerprint&, TimePoint begunAt);

    /** Clears parts that another instance has cleared. */
    void clear(const PromptFingerprint&);

    /** Returns how long a request with these parts must not be sent to a backend server; nothing if it may be. Renews
        the quarantine. */
    std::optional<Duration> quarantineOf(const PromptFingerprint&);

    /** Adds a quarantine of which another instance knows, without the parts that were cleared here. */
    void adopt(const QuarantinedPrompt&);

    /** The quarantined combinations, in a bounded number. */
    std::vector<QuarantinedPrompt> quarantined() const;

    /** Ends quarantines and suspicions that are due. Should be called about once a second. */
    void expire();

    size_t suspectCount() const { return m_suspects.size(); }
    bool hasSuspects() const { return !m_suspects.empty(); }
    bool isActive() const { return !m_quarantines.empty(); }

private:
    /** A part of the prompts of one model. */
    using PartKey = std::pair<std::string, uint64_t>;

    /** Parts in ascending order, shared by the suspects of one prompt. */
    using PartsPtr = std::shared_ptr<const std::vector<uint64_t>>;

    /** What is known of a part that was present at crashes. */
    struct Suspect {
        int crashes = 0; ///< Counted at most once in a short time.
        TimePoint firstAt {};
        TimePoint countedAt {};
        TimePoint endsAt {}; ///< When it is forgotten.
        uint64_t firstServer = 0; ///< Hash of the server's id.
        bool isOnSeveralServers = false;
        bool wasCleared = false; ///< Whether a response cleared it after earlier crashes.
        PartsPtr together; ///< Parts, with this one, that were present in every suspected request with it.
    };

    struct Quarantine {
        PromptFingerprint prompt;
        TimePoint endsAt {};
    };

    /** Counts the crash for the parts of the prompt that are suspects. */
    void countCrash(uint64_t server, const PromptFingerprint&);
    void addSuspects(uint64_t server, const PromptFingerprint&);
    void judge(const PartKey&, const Suspect&);

    /** The other parts that were always present with a suspect and have not been cleared. */
    std::vector<uint64_t> companionsOf(const PartKey&, const Suspect&) const;

    /** Whether another part explains the crashes of this one more specifically. */
    bool isExplainedByCompanion(const PartKey&, const Suspect&) const;
    void quarantine(PromptFingerprint, TimePoint endsAt);

    /** Makes the parts of an ended quarantine suspects that one more crash quarantines again. */
    void watch(const PromptFingerprint&);
    void clearPart(const PartKey&);

    /** Drops the suspects with the fewest and oldest crashes until there is room for so many. */
    void makeRoom(size_t count);

    const Clock& m_clock;
    std::map<PartKey, Suspect> m_suspects;
    std::map<PartKey, TimePoint> m_cleared; ///< When each part was cleared.
    std::vector<Quarantine> m_quarantines;
};

}
