#pragma once

#include "../engine/TrafficEngine.h"
#include "../net/AutoResetEvent.h"
#include "Member.h"
#include "PeerReportTable.h"
#include "ReservationCoordinator.h"
#include "StoreReaders.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <unordered_map>

namespace borageslip {

/** Exchanges load reports with the other instances over UDP, updates the engine's view of their load, and coordinates
    reservations for some of the backend servers.

    Each server has one coordinator among the instances, which knows the usage by all of them. An instance requests a
    reservation from it before it sends a request, and notifies it when the request has ended. The decision thus uses
    current totals, however old the reports are. The number of messages per request does not depend on the size of the
    fleet.

    The report interval grows with the number of members, so that the rate of datagrams that an instance sends and
    receives does not depend on the size of the fleet. Not thread-safe: call it from the event loop that owns it. */
class PeerLink final : public ReservationBroker {
public:
    PeerLink(TrafficEngine&, std::string ownName);
    ~PeerLink() override;
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /** Binds the socket and starts to receive messages and send reports. Errors: InvalidSettings when the address
        cannot be bound. */
    Status open(const boost::asio::ip::udp::endpoint&);

    /** Adds or updates a member; the own instance is ignored. */
    void setMember(Member);
    void removeMember(std::string_view name);

    /** Sets whether callers may be directed to this instance; a change is reported at once. */
    void setAcceptsCallers(bool);

    /** Caller addresses of the other members that accept callers according to their recent reports. Members without a
        recent report are included while they are newly listed, or when no message arrives from any member. */
    std::vector<boost::asio::ip::tcp::endpoint> callerAddresses() const;

    boost::asio::awaitable<ReservationOutcome> requestReservation(BackendServer&, ReservationLimits) override;
    void notifyUsageChanged(const BackendServer&) override;

    /** Sources from which this instance reads the store, in order of preference; nothing stands for the store itself.
        @param own this instance, with its capacity and failure domain.
        @see rankedStoreSources */
    std::vector<std::optional<boost::asio::ip::tcp::endpoint>> storeSources(const Member& own) const;

    size_t livePeerCount() const { return m_reportTable.livePeerCount(m_engine.clock().now()); }
    Duration oldestReportAge() const { return m_reportTable.maxReportAge(m_engine.clock().now()); }
    size_t memberCount() const { return m_members.size(); }

private:
    struct ListedMember {
        Member member;
        TimePoint listedAt {};
        int consecutiveTimeouts = 0; ///< Consecutive reservation requests without a reply.
        TimePoint excludedUntil {}; ///< Until then the member is not used as a coordinator.
    };

    /** A reservation request that waits for its reply. */
    struct PendingRequest {
        AutoResetEvent* signal = nullptr;
        std::optional<ReservationReply> reply {};
    };

    boost::asio::awaitable<void> receiveAll();
    boost::asio::awaitable<void> reportPeriodically();
    void sendReports();
    void applyPeerUsage();
    Duration reportInterval() const;
    void receive(PeerMessage, const boost::asio::ip::udp::endpoint& sender);
    void receiveReport(PeerReport);
    void receiveReservationMessage(const ReservationMessage&, const boost::asio::ip::udp::endpoint& sender);
    void receiveReservationReply(const ReservationReply&);
    void updatePeerUsage(uint64_t server);

    /** The member that coordinates the server; null when it is this instance, or when there is none. */
    ListedMember* coordinator(uint64_t server);
    /** Excludes a member as a coordinator after repeated timeouts. */
    void recordReplyResult(ListedMember&, bool hasReplied);
    ReservationMessage usageMessage(const BackendServer&);
    void send(std::span<const uint8_t>, const boost::asio::ip::udp::endpoint&);

    TrafficEngine& m_engine;
    std::string m_ownName;
    uint64_t m_incarnation;
    uint64_t m_sequence = 0;
    bool m_acceptsCallers = false;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    PeerReportTable m_reportTable;
    std::map<std::string, ListedMember, std::less<>> m_members;
    std::unordered_map<uint64_t, PendingRequest> m_pendingRequests; ///< By sequence of the request.
};

}
