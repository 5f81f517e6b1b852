#pragma once

#include "../peers/ReservationMessages.h"

#include <borageslip_core/time/Clock.h>

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace borageslip {

/** A reservation request that waits at the server's coordinator for a free slot. */
struct WaitingReservation {
    ReservationMessage message;
    boost::asio::ip::udp::endpoint sender;
    TimePoint waitsUntil {};
};

/** Reservation requests that wait for a slot of one backend server, kept by the server's coordinator.

    Answers the load pattern in which a server that has a prompt prefix in its cache is full for a moment: without the
    wait, the request moves to another server, which reads the whole prefix again and is then full for the requests of
    its own prefixes.

    A freed slot goes to the most urgent request, then to the one that has waited longest. The number of waiting requests
    is bounded by a part of the server's slots, so that a prefix that outgrows its server spreads to others. Does no I/O:
    time is passed in. Not thread-safe. */
class ReservationWaitList {
public:
    /** Whether a new request may wait: it is willing to, and the list of its server has room. */
    bool hasRoom(const ReservationMessage&) const;

    /** Whether a request that waits for the server is served before a new one of this priority. */
    bool hasBefore(uint64_t server, RequestPriority) const;

    void add(WaitingReservation);

    /** The first request in order; null when none waits for the server. */
    const WaitingReservation* first(uint64_t server) const;
    WaitingReservation takeFirst(uint64_t server);

    /** Removes the requests that have waited for as long as they may. */
    std::vector<WaitingReservation> takeExpired(TimePoint now);

    /** Usage of the server that the senders have counted for requests that still wait. */
    ServerUsage usage(uint64_t server) const;

    std::optional<TimePoint> nextExpiry() const;

    /** Hashes of the servers for which requests wait. */
    std::vector<uint64_t> servers() const;
    size_t size() const;

private:
    using Order = std::pair<RequestPriority, uint64_t>; ///< Priority, then number of arrival.

    std::map<uint64_t, std::map<Order, WaitingReservation>> m_waiting; ///< By the server's hash.
    uint64_t m_arrivals = 0;
};

}
