#pragma once

#include "ReservationMessages.h"

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace borageslip {

/** Another instance that may coordinate reservations. */
struct ReservationPeer {
    std::string_view name;
    boost::asio::ip::udp::endpoint address;
};

/** What the two sides of reservations need of their instance: the datagram endpoint and the other instances.
    @see PeerLink, ReservationGrants, ReservationRequests */
class ReservationHost {
public:
    virtual ~ReservationHost() = default;

    /** Whether the datagram endpoint is open. */
    virtual bool isOpen() const = 0;

    /** Whether this instance accepts callers, and thus may coordinate reservations. */
    virtual bool acceptsCallers() const = 0;

    /** The other instances that have reported recently and accept callers. The names are valid until the next change of
        the members. */
    virtual std::vector<ReservationPeer> reservationPeers() const = 0;

    /** Whether the other instance is a member. */
    virtual bool isMember(std::string_view instance) const = 0;

    /** Whether this instance coordinates the reservations of the server. */
    virtual bool isCoordinatorOf(uint64_t server) = 0;

    /** Sequence of the next message of this instance. */
    virtual uint64_t nextSequence() = 0;

    virtual void send(std::span<const uint8_t>, const boost::asio::ip::udp::endpoint&) = 0;

    /** Delivers the reply to a request of this instance that it has decided on itself. */
    virtual void receiveReservationReply(const ReservationReply&) = 0;

    /** Asks for a call of the functions that are due soon, because their time has changed. */
    virtual void schedulePoll() = 0;
};

}
