#pragma once

#include <borageslip_core/errors/Result.h>

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace borageslip {

/** Who is at the other end of a connection. */
enum class PeerKind {
    Caller,
    Server, ///< A backend server or the store, in the same region.
};

/** Sends small writes at once, and ends the connection when its peer no longer acknowledges data or probes: a
    connection may go silent for good without a reset. */
void configureSocket(boost::asio::ip::tcp::socket&, PeerKind);

/** Parses "IP:PORT". Errors: InvalidMessage. */
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view);

/** Whether an idle connection is still open and nothing has arrived on it. */
bool isOpenAndIdle(boost::asio::ip::tcp::socket&);

/** Closes without an orderly end, so that the peer cannot take what it has read for complete. */
void resetSocket(boost::asio::ip::tcp::socket&);

}
