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

/** A datagram that a MemberTable wants sent. */
struct OutgoingDatagram {
    std::string to; ///< "ip:port"
    std::vector<uint8_t> bytes;
    ControlKind kind = ControlKind::Probe;
};

/** SWIM membership as a pure state machine: time and datagrams in, datagrams out.

    A member is removed only by the expiry of a local suspicion: a peer's claim that a member is dead starts a suspicion
    here, so that the member can refute it. Call tick() about every 100 ms. Not thread-safe: owned by one thread.
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
        std::chrono::milliseconds probeAttemptInterval { 300 }; ///< Time between the attempts of one probe.
        int probeAttempts = 3; ///< The second and later attempts are also made through relays.
        int relays = 3;
        std::chrono::milliseconds suspicionMaximum { 5500 }; ///< Without a confirmation.
        std::chrono::milliseconds suspicionMinimum { 4500 }; ///< After `confirmations`; over the longest pause tolerated.
        int confirmations = 3;
        std::chrono::milliseconds pauseThreshold { 1000 }; ///< A longer gap between calls counts as a pause of this process.
        int urgentFanOut = 4; ///< Members to which fresh leaving and suspicion news is sent at once.
        std::chrono::milliseconds urgentPeriod { 200 }; ///< Urgent news of one period shares datagrams.
        int leaveRepeats = 3; ///< Further times that a leaving member sends its own leaving to members at once.
        std::chrono::milliseconds syncPeriod { 4000 };
        std::chrono::milliseconds reconnectPeriod { 2000 }; ///< Between contacts to removed members, which heal partitions.
        std::chrono::minutes deadRetention { 30 };
        size_t smallFleetSize = 4; ///< While fewer members are known, a seed is contacted in each seedPeriod; later in each tenth.
        std::chrono::milliseconds seedPeriod { 1000 };
        size_t gossipBytes = 100; ///< Room for board entries in one probe datagram.
        size_t maxMembers = 1024;
    };

    /** @param self id, addresses, region, failure domain and the start incarnation, which must rise from one process with
            this id to the next (e.g. wall time in milliseconds).
        @param budget may also be drawn from by others; must outlive the table. */
    MemberTable(Member self, Settings, SwimCodec, ControlBudget& budget, uint64_t seed, TimePoint now);
    MemberTable(const MemberTable&) = delete;
    MemberTable& operator=(const MemberTable&) = delete;

    /** @param listener called from within tick() and receive(); must outlive the table. */
    void setListener(Listener* listener) { m_listener = listener; }
    void setSeeds(std::vector<std::string> gossipAddresses) { m_seeds = std::move(gossipAddresses); }
    /** Announces whether this member may be the home of engines. */
    void setPlaceable(bool isPlaceable);

    std::vector<OutgoingDatagram> tick(TimePoint now);
    std::vector<OutgoingDatagram> receive(std::span<const uint8_t> datagram, std::string_view from, TimePoint now);
    /** Announces a planned stop. The table keeps answering until it is destroyed. */
    std::vector<OutgoingDatagram> leave(TimePoint now);

    /** All members that are not dead, this one included, ordered by id. */
    std::vector<Member> members() const;
    /** A member by id, dead ones included. */
    std::optional<Member> member(const MemberId&) const;
    const Member& self() const { return m_self; }
    size_t size() const { return m_liveCount + 1; }
    /** Rises with every change that members() would show. */
    uint64_t revision() const { return m_revision; }

    GossipTable& gossip() { return m_gossip; }
    const GossipTable& gossip() const { return m_gossip; }
    /** Mean running work per engine of a model, over one region or the fleet. */
    std::optional<double> meanLoad(const ModelId&, const std::optional<Region>&) const;

    uint64_t malformedDatagrams() const { return m_malformed; }
    int healthPenalty() const { return m_healthPenalty; }

private:
    struct Record {
        Member member;
        StateChartInstance chart;
        std::optional<TimePoint> suspectedAt; ///< Set in states suspect and leaving while a suspicion runs.
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
    bool m_isSynchronising = false; ///< Set while records of a synchronisation are applied.

    TimePoint m_lastCall;
    TimePoint m_nextProbe;
    TimePoint m_nextUrgent;
    TimePoint m_nextSync;
    TimePoint m_nextSeed;
    TimePoint m_nextReconnect;
};

}
