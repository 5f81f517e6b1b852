#pragma once

#include "../engine/TrafficEngine.h"
#include "../net/AutoResetEvent.h"
#include "ReservationGrants.h"
#include "ReservationHost.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace borageslip {

/** The asking side of reservations: selects the coordinators of servers, and sends them the requests and the usage of
    this instance.

    Not thread-safe.
    @see ReservationGrants */
class ReservationRequests {
public:
    ReservationRequests(TrafficEngine&, ReservationHost&, ReservationGrants&, const MemoryCoordination&, std::string ownName, uint64_t incarnation);
    ReservationRequests(const ReservationRequests&) = delete;
    ReservationRequests& operator=(const ReservationRequests&) = delete;

    boost::asio::awaitable<ReservationResult> requestReservation(BackendServer&, ReservationDemand);
    void notifyUsageChanged(BackendServer&);
    void notifyPrefillEnded(const BackendServer&, uint64_t prefix, PrefillEnd);
    void receiveReservationReply(const ReservationReply&);

    /** Ends the waits for servers which have been evacuated: their coordinators may not know of it yet. */
    void endWaitsForEvacuated();

    /** The instance that coordinates the server; nothing when it is this instance, or when there is none. */
    std::optional<ReservationPeer> coordinator(uint64_t server) const;

    /** Forgets the timeouts of an instance that is listed anew or no longer listed. */
    void forgetTimeouts(std::string_view instance);

private:
    /** A reservation request that waits for its reply. */
    struct PendingRequest {
        AutoResetEvent* signal = nullptr;
        std::optional<ReservationReply> reply {};
    };

    /** Reservation requests to one instance that got no reply. */
    struct Timeouts {
        int consecutive = 0;
        TimePoint excludedUntil {}; ///< Until then the instance is not used as a coordinator.
    };

    /** Waits for the end of the prefill of the prefix, at most for the given time. */
    boost::asio::awaitable<void> awaitPrefix(BackendServer&, SharedPrefix, const PendingRequest&, Duration within);
    ReservationMessage usageMessage(const BackendServer&);
    ReservationResult resultOf(BackendServer&, const ReservationDemand&, const std::optional<ReservationReply>&);

    /** Sets the usage of the server by the other instances as its coordinator has stated it. */
    static void applyStatedUsage(BackendServer&, const ReservationDemand&, const ReservationReply&);

    /** Excludes an instance as a coordinator after repeated timeouts. */
    void recordReplyResult(const std::string& instance, bool hasReplied);

    TrafficEngine& m_engine;
    ReservationHost& m_host;
    ReservationGrants& m_grants;
    const MemoryCoordination& m_memory;
    std::string m_ownName;
    uint64_t m_incarnation;
    std::unordered_map<uint64_t, PendingRequest> m_pendingRequests; ///< By sequence of the request.
    std::map<std::string, Timeouts, std::less<>> m_timeouts; ///< By instance.
};

}
