#pragma once

#include "../table/MemberTable.h"
#include "UdpEndpoint.h"

#include <borageslip_core/time/Clock.h>

#include <memory>
#include <mutex>

namespace borageslip {

/** Runs a MemberTable over UDP on the endpoint's thread. All methods are thread-safe.

    The listener is called on the endpoint's thread without a lock held, so it may call the service. */
class MembershipService {
public:
    struct Settings {
        Member self; ///< With port 0 in gossipAddress, the bound port is announced.
        std::string bindAddress; ///< Empty: self.gossipAddress.
        std::string signingKey;
        std::string acceptedKey; ///< Second key accepted while keys change; empty for none.
        std::vector<std::string> seeds;
        MemberTable::Settings table;
        std::chrono::milliseconds tickPeriod { 100 };
    };

    /** @param budget, clock, listener must outlive the service; listener may be null.
        Errors: InvalidSettings when the address cannot be bound. */
    static Result<std::unique_ptr<MembershipService>> start(Settings, ControlBudget&, const Clock&, MemberTable::Listener*);

    ~MembershipService();
    MembershipService(const MembershipService&) = delete;
    MembershipService& operator=(const MembershipService&) = delete;

    /** All members that are not dead, this one included, ordered by id. Rebuilt only after a change. */
    std::shared_ptr<const std::vector<Member>> members();
    Member self();
    void setSeeds(std::vector<std::string> gossipAddresses);
    void setPlaceable(bool isPlaceable);
    /** Announces a planned stop; the service goes on answering. */
    void leave();

    bool publish(GossipSlot, std::span<const uint8_t> payload);
    void publishConfiguration(ConfigurationRevision);
    bool publishLoads(std::span<const ModelLoad>);
    std::vector<GossipEntry> valuesOf(GossipSlot);
    /** Returns this member's own value. */
    std::optional<GossipEntry> ownValue(GossipSlot);
    /** Takes a member's value that arrived by another way than a datagram; values of unknown members are ignored. */
    void mergeValue(const GossipEntry&);
    std::optional<ConfigurationRevision> configurationOf(const MemberId&);
    std::optional<double> meanLoad(const ModelId&, const std::optional<Region>&);

    uint64_t malformedDatagrams();
    uint64_t bytesReceived() const { return m_endpoint->bytesReceived(); }

private:
    /** Keeps the table's events until the lock is released. */
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
