#pragma once

#include <borageslip_core/errors/Result.h>

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace borageslip {

/** Kind of the remote end of a connection. */
enum class PeerKind {
    Caller,
    Server, ///< A backend server or the store, in the same region.
};

/** Disables Nagle's algorithm, and sets keep-alive probes and a user timeout.

    These close the connection if the remote end stops acknowledging data or probes, because a connection can be lost
    without a reset. Also makes the socket non-blocking. */
void configureSocket(boost::asio::ip::tcp::socket&, PeerKind);

/** Parses "IP:PORT". Errors: InvalidMessage. */
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view);

/** Whether an idle connection is still open and has no unread bytes. */
bool isOpenAndIdle(boost::asio::ip::tcp::socket&);

/** Closes the connection with a TCP reset, so that the peer cannot take truncated data for a complete message. */
void resetSocket(boost::asio::ip::tcp::socket&);

}
