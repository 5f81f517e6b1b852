#pragma once

#include "../engine/TrafficEngine.h"
#include "../limits/ReservationWaitList.h"
#include "MemoryCoordination.h"
#include "PeerReportTable.h"
#include "ReservationHost.h"
#include <borageslip_scheduling/placement/PrefixFlights.h>
#include <borageslip_scheduling/placement/ReservationCoordinator.h>

#include <map>
#include <optional>
#include <span>
#include <string>

namespace borageslip {

/** The coordinator's side of reservations: decides on the requests of all instances for the servers that this instance
    coordinates, and keeps those that wait.

    Does no I/O and has no timers: replies go through the ReservationHost, and poll() does what is due. Not thread-safe.
    @see ReservationRequests */
class ReservationGrants {
public:
    ReservationGrants(TrafficEngine&, PeerReportTable&, MemoryCoordination&, ReservationHost&, std::string ownName);
    ReservationGrants(const ReservationGrants&) = delete;
    ReservationGrants& operator=(const ReservationGrants&) = delete;

    /** Applies the usage that another instance states, and decides on its request if the message has one. */
    void receiveReservationMessage(const ReservationMessage&, const boost::asio::ip::udp::endpoint& sender);

    /** Decides on a request that the sender has counted at the server. */
    void decideReservation(BackendServer&, const ReservationMessage&, const boost::asio::ip::udp::endpoint& sender);

    /** Releases the requests that wait for the prefix, or has one of them prefill it after a failure. */
    void receivePrefillEnd(const PrefillEndNotice&);

    /** Grants free slots of the server to the requests that wait for it. */
    void grantWaiting(BackendServer&);

    /** Takes over the usage that the report of another instance has changed. @param servers their hashes. */
    void applyReportedUsage(std::span<const uint64_t> servers);

    /** Whether this instance grants a reservation. @param usage of the server without the reservation. */
    bool canGrant(const BackendServer&, const ServerUsage& usage, const ReservationLimits&) const;

    /** Grants the requests whose rate limit allows them, and ends the waits that have reached their limits or whose server
        is gone. */
    void poll();

    /** Denies the requests that wait for servers which have been evacuated. */
    void denyEvacuated();

    /** Time of the next call of poll(); nothing when it is not needed. */
    std::optional<TimePoint> nextPoll() const;

    /** Requests of all instances that wait here. */
    size_t waitingCount() const { return m_waitList.size() + m_prefixFlights.waitingCount(); }

private:
    /** A granted request that is not sent while another one prefills its prefix. */
    struct PrefixWaiter {
        ReservationMessage message;
        boost::asio::ip::udp::endpoint sender;
        int64_t serverStartedAtMs = 0; ///< Identifies the incarnation of the server.
    };

    /** Lets a granted request wait if its prefix is being prefilled at the server. */
    bool awaitPrefix(const BackendServer&, const ReservationMessage&, const boost::asio::ip::udp::endpoint& sender);

    /** Lets requests be sent whose prefix the server has probably cached. */
    void releasePrefixWaiters(std::span<const uint64_t> ids);

    /** Has a request that waits prefill the prefix. */
    void startPrefill(uint64_t waiter);

    /** Whether the server no longer serves the requests that wait for prefixes there. */
    bool isLost(uint64_t server) const;
    void denyAtLostServers();
    void updatePeerUsage(uint64_t server);

    /** Usage of the server by all instances, without the requests that wait for it. */
    ServerUsage grantedUsage(const BackendServer&) const;
    RequestRate::Share rateShare(const BackendServer&);

    /** Whether the rate limit of the server allows a request now. */
    bool hasRate(BackendServer&, uint64_t prefixTokens);
    void grantReservation(BackendServer&, const ReservationMessage&, const boost::asio::ip::udp::endpoint& sender);
    void denyReservation(const BackendServer&, const ReservationMessage&, const boost::asio::ip::udp::endpoint& sender);
    void replyTo(const ReservationMessage&, const boost::asio::ip::udp::endpoint& sender, const ReservationReply&);

    /** Subtracts a part from what the sender of the request has counted at the server. */
    void reduceUsage(const ReservationMessage&, const ServerUsage& part);

    /** Grants the requests that wait until the rate limits of their servers allow them. */
    void grantDue();

    /** When the rate limit of a server allows the next of the requests that wait; nothing when none waits for that. */
    std::optional<TimePoint> nextRateGrant() const;
    void denyExpired();

    TrafficEngine& m_engine;
    PeerReportTable& m_reportTable;
    MemoryCoordination& m_memory;
    ReservationHost& m_host;
    std::string m_ownName;
    ReservationWaitList m_waitList; ///< Of the servers that this instance coordinates.
    PrefixFlights m_prefixFlights; ///< The same.
    std::map<uint64_t, PrefixWaiter> m_prefixWaiters; ///< By number.
    uint64_t m_lastPrefixWaiter = 0;
};

}
