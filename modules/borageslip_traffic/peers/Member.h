#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

namespace borageslip {

/** An instance of the fleet, as registered by itself in the store. */
struct Member {
    std::string name;
    std::string failureDomain;
    boost::asio::ip::tcp::endpoint callerAddress;
    boost::asio::ip::udp::endpoint peerAddress;
    boost::asio::ip::tcp::endpoint metricsAddress {}; ///< Unspecified when the instance has registered none.
    double linkCapacity = 0; ///< Mbit/s; 0 when unknown.

    bool operator==(const Member&) const = default;
};

/** How an instance learned of a member. */
enum class MemberListing {
    Written, ///< The member has registered itself.
    Restored, ///< The record came back with an older copy of the store; the member may have ended long ago.
};

}
