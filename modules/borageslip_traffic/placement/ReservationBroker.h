#pragma once

#include "../peers/ReservationMessages.h"

#include <boost/asio/awaitable.hpp>

namespace borageslip {

class BackendServer;

/** How a request for a place at a server ended. */
enum class ReservationOutcome {
    Granted,
    Denied,
    TimedOut, ///< The keeper of the places did not answer in time.
};
constexpr size_t reservationOutcomeCount = 3;

/** Asks the instance that keeps the places of a server. The request must count at the server already, so that no report
    in between omits it. Call it from the event loop that owns it.
    @see PeerLink */
class ReservationBroker {
public:
    virtual ~ReservationBroker() = default;
    virtual boost::asio::awaitable<ReservationOutcome> requestReservation(BackendServer&, ReservationLimits) = 0;

    /** Tells the keeper that this instance's use of the server has changed. */
    virtual void notifyUsageChanged(const BackendServer&) = 0;
};

}
