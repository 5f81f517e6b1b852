#pragma once

#include "../engine/TrafficEngine.h"
#include "../net/AutoResetEvent.h"
#include "../store/StoreReaders.h"
#include "../store/StoreRefresh.h"
#include "ColdPermits.h"
#include "Member.h"
#include "MemoryCoordination.h"
#include "PeerReportTable.h"
#include "ReservationGrants.h"
#include "ReservationRequests.h"
#include "ServiceCoordination.h"
#include <borageslip_scheduling/placement/ReservationCoordinator.h>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace borageslip {

/** Exchanges load reports with the other instances over UDP, updates the engine's view of their load, and coordinates
    reservations for some of the backend servers.

    Each server has one coordinator among the instances, which knows the usage by all of them. An instance requests a
    reservation from it before it sends a request, and notifies it when the request has ended. The decision thus uses
    current totals, however old the reports are. The number of messages per request does not depend on the size of the
    fleet.

    The slots of services without prompt prefixes are granted by one coordinator for the whole service, from one queue.
    @see ServiceCoordination

    The report interval grows with the number of members, so that the rate of datagrams that an instance sends and
    receives does not depend on the size of the fleet. Not thread-safe: call it from the event loop that owns it. */
class PeerLink final : public ReservationBroker, private CoordinationHost, private ReservationHost, private PromptHealthListener, private ColdPermits::Transport {
public:
    /** @param ownCapacity network capacity of this instance in Mbit/s; 0 when unknown. */
    PeerLink(TrafficEngine&, std::string ownName, double ownCapacity = 0);
    ~PeerLink() override;
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /** Binds the socket and starts to receive messages and send reports. Errors: InvalidSettings when the address
        cannot be bound. */
    Status open(const boost::asio::ip::udp::endpoint&);

    /** Adds or updates a member; the own instance is ignored. A restored one gets no callers before it is heard. */
    void setMember(Member, MemberListing = MemberListing::Written);

    /** Removes a member that the store no longer lists. One that is still heard and accepts callers is removed when its
        messages end: the store may reject it, so that its lease expires while it serves callers. */
    void removeMember(std::string_view name);

    /** Is told which configurations the other instances have in force. */
    class VersionListener {
    public:
        virtual ~VersionListener() = default;
        virtual void versionAnnounced(const boost::asio::ip::tcp::endpoint& instance, uint64_t version) = 0;
        virtual void evacuationAnnounced(const boost::asio::ip::tcp::endpoint& instance, uint64_t revision) = 0;
    };

    /** Sets who is told of versions; null for nobody. The listener must outlive the link. */
    void setVersionListener(VersionListener* listener) { m_versionListener = listener; }

    /** Tells all other instances that a configuration was read from the store. */
    void announceConfiguration(uint64_t version);

    /** Tells all other instances that a change of the evacuations was read from the store. */
    void announceEvacuation(uint64_t revision);

    /** Sets whether callers may be directed to this instance; a change is reported at once. */
    void setAcceptsCallers(bool);

    /** Caller addresses of the other members that accept callers according to their recent reports. Members without a
        recent report are included while they are newly listed, or when no message arrives from any member. */
    std::vector<boost::asio::ip::tcp::endpoint> callerAddresses() const;

    boost::asio::awaitable<ReservationResult> requestReservation(BackendServer&, ReservationDemand) override;
    void notifyUsageChanged(BackendServer&) override;
    void notifyPrefillEnded(const BackendServer&, uint64_t prefix, PrefillEnd) override;
    void notifyRateLimit(const BackendServer&) override;
    void onEvacuationChanged() override;
    std::unique_ptr<SlotTicket> requestSlot(SlotDemand, std::function<void()> onDecision) override;

    /** Sources from which this instance reads the store, in order of preference; nothing stands for the store itself.
        @param own this instance, with its capacity and failure domain.
        @see rankedStoreSources */
    std::vector<StoreSource> storeSources(const Member& own) const;

    /** Permits for cold servers. */
    ColdPermits& coldPermits() { return m_coldPermits; }
    const ColdPermits& coldPermits() const { return m_coldPermits; }

    size_t livePeerCount() const { return m_reportTable.livePeerCount(m_engine.clock().now()); }
    Duration oldestReportAge() const { return m_reportTable.maxReportAge(m_engine.clock().now()); }
    size_t memberCount() const { return m_members.size(); }

    /** Requests of all instances that wait for a slot of the services and servers that this instance coordinates. */
    size_t queuedRequestCount() const { return m_coordination.waitingCount() + m_grants.waitingCount(); }

    /** Requests of this instance that wait for a slot from a coordinator. */
    size_t ownQueuedRequestCount() const { return m_coordination.ownWaitingCount(); }
    size_t coordinatedServiceCount() const { return m_coordination.coordinatedServiceCount(); }

private:
    struct ListedMember {
        Member member;
        TimePoint listedAt {};
        bool isDelisted = false; ///< Whether the store no longer lists it.
        bool isSilent = false; ///< Whether it did not reply and no message of it has arrived since.
    };

    /** Sender of the message that is being handled; empty otherwise. */
    struct CurrentSender {
        std::string name {};
        boost::asio::ip::udp::endpoint endpoint {};
    };

    /** The coordinator of a service, as known for a short time. */
    struct KnownCoordinator {
        std::optional<std::string> name {};
        TimePoint validUntil {};
    };

    boost::asio::awaitable<void> receiveAll();
    boost::asio::awaitable<void> reportPeriodically();
    void sendReports();
    bool isHeard(std::string_view name) const;
    void eraseMember(std::string_view name);
    void eraseDelistedMembers();
    void applyPeerUsage();
    Duration reportInterval() const;
    void receive(PeerMessage, const boost::asio::ip::udp::endpoint& sender);
    void receiveReport(PeerReport, const boost::asio::ip::udp::endpoint& sender);
    void receiveConfigurationNotice(const ConfigurationNotice&, const boost::asio::ip::udp::endpoint& sender);
    void recordVersion(uint64_t version, const boost::asio::ip::udp::endpoint& sender);
    template <typename Message>
    void receiveCoordination(const Message&, const boost::asio::ip::udp::endpoint& sender);
    void recordRateLimits(std::span<const RateLimitRow>);

    /** Records that a message of the member has arrived. */
    void recordSender(std::string_view name);
    boost::asio::awaitable<void> pollCoordination();
    std::optional<std::string> rankCoordinators(std::string_view service) const;

    std::optional<std::string> serviceCoordinator(std::string_view service) const override;
    bool isUsable(std::string_view instance) const override;
    void recordSilence(std::string_view instance) override;
    void sendTo(std::string_view instance, std::span<const uint8_t>) override;
    void sendToAll(std::span<const uint8_t>) override;
    uint64_t failureDomainOf(std::string_view instance) const override;
    std::vector<QueuedServer> serversOf(std::string_view service) const override;
    void recordGrant(uint64_t server) override;
    std::vector<uint64_t> ejectedServersOf(std::string_view service) const override;
    void schedulePoll() override { m_pollEvent.notify(); }
    void serverCrashed(const ServerCrash&) override;
    void partsCleared(const PromptFingerprint&) override;

    void sendDatagram(std::span<const uint8_t> bytes, const boost::asio::ip::udp::endpoint& to) override
    {
        if (m_socket.is_open())
            send(bytes, to);
    }
    void sendDatagramToAll(std::span<const uint8_t> bytes) override { sendToAll(bytes); }

    bool isOpen() const override { return m_socket.is_open(); }
    bool acceptsCallers() const override { return m_acceptsCallers; }
    std::vector<ReservationPeer> reservationPeers() const override;
    bool isMember(std::string_view instance) const override { return m_members.contains(instance); }
    bool isCoordinatorOf(uint64_t server) override { return !m_requests.coordinator(server); }
    uint64_t nextSequence() override { return ++m_sequence; }
    void receiveReservationReply(const ReservationReply& reply) override { m_requests.receiveReservationReply(reply); }
    void send(std::span<const uint8_t>, const boost::asio::ip::udp::endpoint&) override;

    TrafficEngine& m_engine;
    std::string m_ownName;
    double m_ownCapacity;
    uint64_t m_incarnation;
    uint64_t m_sequence = 0;
    bool m_acceptsCallers = false;
    VersionListener* m_versionListener = nullptr;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    PeerReportTable m_reportTable;
    MemoryCoordination m_memory;
    std::map<std::string, ListedMember, std::less<>> m_members;
    mutable std::map<std::string, KnownCoordinator, std::less<>> m_coordinators; ///< By service.
    CurrentSender m_currentSender;
    AutoResetEvent m_pollEvent;
    ReservationGrants m_grants;
    ReservationRequests m_requests;
    ServiceCoordination m_coordination;
    ColdPermits m_coldPermits;
};

}
