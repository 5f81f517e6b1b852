#pragma once

#include "../peers/ReservationMessages.h"
#include "SlotTicket.h"

#include <boost/asio/awaitable.hpp>

namespace borageslip {

class BackendServer;

/** Result of a reservation request. */
enum class ReservationOutcome {
    Granted,
    Denied,
    TimedOut, ///< The coordinator did not reply in time.
};
constexpr size_t reservationOutcomeCount = 3;

/** What a request needs of one backend server. */
struct ReservationDemand {
    ReservationLimits limits;
    SharedPrefix prefix;
    int64_t promptTokens = 0; ///< Counted at the server beforehand.
    RequestPriority priority {};
    std::chrono::milliseconds waitWithin { 0 }; ///< For which the request waits for a slot if the server has none.
    std::chrono::milliseconds prefillWaitWithin { 0 }; ///< For which a granted request waits while another one prefills its prefix.
    RequestMemory memory {}; ///< Counted at the server beforehand.
};

struct ReservationResult {
    ReservationOutcome outcome = ReservationOutcome::TimedOut;
    bool isPrefixCached = false; ///< Whether the server probably has the prefix in its prefix cache.
};

/** Requests reservations for capacity at backend servers from the instances that coordinate them.

    Not thread-safe: call it from the event loop that owns it.
    @see PeerLink */
class ReservationBroker {
public:
    virtual ~ReservationBroker() = default;

    /** Requests a reservation for one request at a backend server. The caller must have counted the request at the
        server beforehand, so that a load report sent in the meantime includes it. */
    virtual boost::asio::awaitable<ReservationResult> requestReservation(BackendServer&, ReservationDemand) = 0;

    /** Queues a request for a slot at any server of a service.
        @param onDecision called when the ticket's outcome has changed; must not destroy the ticket. */
    virtual std::unique_ptr<SlotTicket> requestSlot(SlotDemand, std::function<void()> onDecision) = 0;

    /** Notifies the server's coordinator that this instance's usage of the server has changed. */
    virtual void notifyUsageChanged(BackendServer&) = 0;

    /** Notifies the server's coordinator that a request of this instance no longer prefills the prefix. */
    virtual void notifyPrefillEnded(const BackendServer&, uint64_t prefix, PrefillEnd) = 0;

    /** Notifies the other instances that the server has named another rate limit, or none any more. */
    virtual void notifyRateLimit(const BackendServer&) = 0;

    /** Ends the waits for servers that have been evacuated. */
    virtual void onEvacuationChanged() { }
};

}
