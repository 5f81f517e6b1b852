#pragma once

#include "../table/MemberTable.h"
#include "UdpEndpoint.h"

#include <borageslip_core/time/Clock.h>

#include <memory>
#include <mutex>

namespace borageslip {

/** Runs a MemberTable over UDP on the endpoint's thread. All methods are thread-safe.

    The listener is called on the endpoint's thread without holding a lock, so it may call the service. */
class MembershipService {
public:
    struct Settings {
        Member self; ///< If gossipAddress has port 0, the bound port is announced instead.
        std::string bindAddress; ///< Empty for self.gossipAddress.
        std::string signingKey;
        std::string acceptedKey; ///< Second key accepted during a key rotation; empty for none.
        std::vector<std::string> seeds;
        MemberTable::Settings table;
        std::chrono::milliseconds tickPeriod { 100 };
    };

    /** Binds the address and starts the endpoint's thread. The budget, clock and listener must outlive the service; the
        listener may be null.
        Errors: InvalidSettings if the address cannot be bound. */
    static Result<std::unique_ptr<MembershipService>> start(Settings, ControlBudget&, const Clock&, MemberTable::Listener*);

    ~MembershipService();
    MembershipService(const MembershipService&) = delete;
    MembershipService& operator=(const MembershipService&) = delete;

    /** Returns all members that are not dead, including this one, ordered by id. The list is rebuilt only after a change. */
    std::shared_ptr<const std::vector<Member>> members();
    Member self();
    void setSeeds(std::vector<std::string> gossipAddresses);
    void setPlaceable(bool isPlaceable);
    /** Announces a planned stop. The service continues to answer. */
    void leave();

    bool publish(GossipSlot, std::span<const uint8_t> payload);
    void publishConfiguration(ConfigurationRevision);
    bool publishLoads(std::span<const ModelLoad>);
    std::vector<GossipEntry> valuesOf(GossipSlot);
    std::optional<GossipEntry> ownValue(GossipSlot);
    /** Merges a member's value that arrived by other means than a membership datagram. Values of unknown members are
        ignored. */
    void mergeValue(const GossipEntry&);
    std::optional<ConfigurationRevision> configurationOf(const MemberId&);
    std::optional<double> meanLoad(const ModelId&, const std::optional<Region>&);

    uint64_t malformedDatagrams();
    uint64_t bytesReceived() const { return m_endpoint->bytesReceived(); }

private:
    /** Collects the table's events while the lock is held; they are delivered after its release. */
    class EventQueue final : public MemberTable::Listener {
    public:
        using Method = void (MemberTable::Listener::*)(const Member&);

        void memberJoined(const Member& member) override { m_events.emplace_back(&Listener::memberJoined, member); }
        void memberLeaving(const Member& member) override { m_events.emplace_back(&Listener::memberLeaving, member); }
        void memberSuspected(const Member& member) override { m_events.emplace_back(&Listener::memberSuspected, member); }
        void memberRemoved(const Member& member) override { m_events.emplace_back(&Listener::memberRemoved, member); }
        std::vector<std::pair<Method, Member>> take() { return std::exchange(m_events, {}); }

    private:
        std::vector<std::pair<Method, Member>> m_events;
    };

    MembershipService(Settings, std::unique_ptr<UdpEndpoint>, ControlBudget&, const Clock&, MemberTable::Listener*);
    void run(const std::function<std::vector<OutgoingDatagram>(TimePoint)>& step);

    const Clock& m_clock;
    MemberTable::Listener* const m_listener;
    std::unique_ptr<UdpEndpoint> m_endpoint;
    std::mutex m_mutex;
    EventQueue m_events;
    MemberTable m_table;
    std::shared_ptr<const std::vector<Member>> m_snapshot;
    uint64_t m_snapshotRevision = 0;
};

}
