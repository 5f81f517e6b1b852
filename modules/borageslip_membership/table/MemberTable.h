#pragma once

#include "../budget/ControlBudget.h"
#include "../codec/SwimCodec.h"
#include "../gossip/GossipTable.h"
#include "Member.h"

#include <borageslip_core/state/StateChart.h>
#include <borageslip_core/time/Clock.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** A datagram that the owner of a MemberTable must send. */
struct OutgoingDatagram {
    std::string to; ///< "ip:port"
    std::vector<uint8_t> bytes;
    ControlKind kind = ControlKind::Probe;
};

/** The SWIM membership protocol as a state machine without I/O: its methods take the time and received datagrams, and
    return the datagrams to send.

    A member is removed only when a suspicion in this table expires. A peer's claim that a member is dead starts such a
    suspicion, so that the member can refute it. Call tick() about every 100 ms. Not thread-safe.
    @see MembershipService, charts/member.json */
class MemberTable {
public:
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void memberJoined(const Member&) { }
        virtual void memberLeaving(const Member&) { }
        virtual void memberSuspected(const Member&) { }
        virtual void memberRemoved(const Member&) { }
    };

    struct Settings {
        std::chrono::milliseconds probePeriod { 500 };
        std::chrono::milliseconds probeAttemptInterval { 300 }; ///< Time between the attempts of one probe. Lengthened by healthPenalty().
        int probeAttempts = 3; ///< The second and later attempts are also sent through relays.
        int relays = 3; ///< Members that relay each such attempt.
        std::chrono::milliseconds suspicionMaximum { 5500 }; ///< Suspicion timeout without a confirmation by another member.
        std::chrono::milliseconds suspicionMinimum { 4500 }; ///< Timeout after `confirmations`; exceeds the longest tolerated process pause.
        int confirmations = 3;
        std::chrono::milliseconds pauseThreshold { 1000 }; ///< A longer gap between calls is treated as a pause of this process.
        int urgentFanOut = 4; ///< Number of members to which new leave and suspicion updates are sent immediately.
        std::chrono::milliseconds urgentPeriod { 200 }; ///< Urgent updates of one period share datagrams.
        int leaveRepeats = 3; ///< Times that a leaving member repeats its own urgent leave update.
        std::chrono::milliseconds syncPeriod { 4000 };
        std::chrono::milliseconds reconnectPeriod { 2000 }; ///< Interval of pings to removed members, which rejoin the fleet after a partition.
        std::chrono::minutes deadRetention { 30 }; ///< How long the record of a removed member is kept.
        size_t smallFleetSize = 4; ///< While fewer other members are known, a seed is contacted every seedPeriod; then every tenth.
        std::chrono::milliseconds seedPeriod { 1000 };
        size_t gossipBytes = 100; ///< Space for gossip entries in one probe datagram, in bytes.
        size_t maxMembers = 1024;
    };

    /** @param self id, addresses, region, failure domain and start incarnation. The start incarnation must increase from
            one process with this id to the next (e.g. wall time in milliseconds).
        @param budget may be shared with other users; must outlive the table
        @param seed of the random generator */
    MemberTable(Member self, Settings, SwimCodec, ControlBudget& budget, uint64_t seed, TimePoint now);
    MemberTable(const MemberTable&) = delete;
    MemberTable& operator=(const MemberTable&) = delete;

    /** @param listener called from within tick() and receive(); must outlive the table */
    void setListener(Listener* listener) { m_listener = listener; }
    void setSeeds(std::vector<std::string> gossipAddresses) { m_seeds = std::move(gossipAddresses); }
    /** Announces whether this member may be the home of engines. */
    void setPlaceable(bool isPlaceable);

    std::vector<OutgoingDatagram> tick(TimePoint now);
    std::vector<OutgoingDatagram> receive(std::span<const uint8_t> datagram, std::string_view from, TimePoint now);
    /** Announces a planned stop. The table continues to answer until it is destroyed. */
    std::vector<OutgoingDatagram> leave(TimePoint now);

    /** Returns all members that are not dead, including this one, ordered by id. */
    std::vector<Member> members() const;
    /** Finds a member by id, including dead ones whose record is still kept. */
    std::optional<Member> member(const MemberId&) const;
    const Member& self() const { return m_self; }
    size_t size() const { return m_liveCount + 1; }
    /** Increases with every change that is visible in members(). */
    uint64_t revision() const { return m_revision; }

    GossipTable& gossip() { return m_gossip; }
    const GossipTable& gossip() const { return m_gossip; }
    /** Returns the mean running work per engine of a model, over one region or the whole fleet. */
    std::optional<double> meanLoad(const ModelId&, const std::optional<Region>&) const;

    uint64_t malformedDatagrams() const { return m_malformed; }
    /** Rises when this process was paused or had to refute a suspicion, and falls with each answered probe. Lengthens the
        timeout of its probes. */
    int healthPenalty() const { return m_healthPenalty; }

private:
    struct Record {
        Member member;
        StateChartInstance chart;
        std::optional<TimePoint> suspectedAt; ///< Start of the current suspicion, if any; only in states suspect and leaving.
        std::set<MemberId> reporters;
        bool isSuspectedLocally = false;
        TimePoint changedAt {};
    };
    struct QueuedUpdate {
        int sendsLeft = 0;
        bool needsProfile = false;
    };
    struct Probe {
        MemberId target;
        uint64_t incarnation = 0;
        TimePoint nextAttempt;
        int attempts = 0;
    };
    struct RelayedProbe {
        std::string requester;
        uint64_t sequence = 0;
        TimePoint expiry;
    };
    using Datagrams = std::vector<OutgoingDatagram>;
    enum class ProbeScope : uint8_t {
        Near,
        CrossRegion,
    };

    void detectPause(TimePoint now);
    bool isListed(const Record& record) const { return record.chart.hasFlag("listed"); }
    int retransmitLimit() const;

    void apply(const MemberUpdate&, const MemberId& sender, TimePoint now);
    void applySelfUpdate(const Member& claimed);
    void applyNewIncarnation(Record&, const MemberUpdate&, TimePoint now);
    void insert(const MemberUpdate&, TimePoint now);
    void suspect(Record&, const MemberId& reporter, TimePoint now);
    void markLeaving(Record&, TimePoint now);
    void fire(Record&, std::string_view event, TimePoint now);
    void remove(Record&, TimePoint now);
    void enqueue(const MemberId&, bool needsProfile);
    void expireSuspicions(TimePoint now);
    std::chrono::milliseconds suspicionTimeout(const Record&) const;
    void dropOldRecords(TimePoint now);

    void startProbe(TimePoint now, Datagrams&);
    void advanceProbes(TimePoint now, Datagrams&);
    void sendProbe(uint64_t sequence, Probe&, TimePoint now, Datagrams&);
    std::optional<MemberId> nextRandomTarget();
    std::optional<MemberId> ringSuccessor() const;
    void refillRound(std::vector<MemberId>& round, ProbeScope);
    std::optional<MemberId> nextFromRound(std::vector<MemberId>& round, ProbeScope);
    std::vector<const Record*> randomMembers(size_t count, const MemberId& except);
    void sendUrgent(TimePoint now, Datagrams&);
    void contactSeed(TimePoint now, Datagrams&);
    void contactRemovedMember(TimePoint now, Datagrams&);

    void handlePing(const SwimMessage&, std::string_view from, TimePoint now, Datagrams&);
    void handlePingRequest(const SwimMessage&, std::string_view from, TimePoint now, Datagrams&);
    void handleAck(const SwimMessage&, TimePoint now, Datagrams&);
    void handleSyncRequest(const SwimMessage&, std::string_view from, TimePoint now, Datagrams&);
    void requestSyncOnDifference(const SwimMessage&, std::string_view from, TimePoint now, Datagrams&);

    SwimMessage makeMessage(SwimKind, uint64_t sequence) const;
    MemberUpdate makeUpdate(const MemberId&, bool hasProfile) const;
    void addUpdates(SwimMessage&, size_t& room, const MemberId& recipient, uint64_t recipientIncarnation);
    void send(SwimMessage, const std::string& to, const MemberId& recipient, uint64_t recipientIncarnation, ControlKind, TimePoint now, Datagrams&);
    bool transmit(const SwimMessage&, const std::string& to, ControlKind, TimePoint now, Datagrams&);
    uint64_t recordDigest(const Member&) const;
    BucketDigests bucketDigests() const;
    uint64_t tableDigest() const;

    Member m_self;
    const Settings m_settings;
    const SwimCodec m_codec;
    ControlBudget& m_budget;
    std::mt19937_64 m_random;
    GossipTable m_gossip;
    Listener* m_listener = nullptr;
    std::vector<std::string> m_seeds;

    std::map<MemberId, Record> m_records;
    std::map<MemberId, QueuedUpdate> m_queue;
    std::set<MemberId> m_urgent;
    std::map<uint64_t, Probe> m_probes;
    std::map<uint64_t, RelayedProbe> m_relayedProbes;
    std::vector<MemberId> m_nearRound;
    std::vector<MemberId> m_crossRegionRound;
    size_t m_liveCount = 0;
    uint64_t m_revision = 0;
    uint64_t m_nextSequence;
    uint64_t m_probeCount = 0;
    uint64_t m_malformed = 0;
    mutable std::optional<uint64_t> m_digest;
    int m_healthPenalty = 0;
    int m_leaveRepeats = 0;
    bool m_isSynchronising = false; ///< True while the updates of a SyncResponse are applied.

    TimePoint m_lastCall;
    TimePoint m_nextProbe;
    TimePoint m_nextUrgent;
    TimePoint m_nextSync;
    TimePoint m_nextSeed;
    TimePoint m_nextReconnect;
};

}
