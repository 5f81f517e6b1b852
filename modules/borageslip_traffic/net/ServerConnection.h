#pragma once

#include <borageslip_core/time/Clock.h>

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace borageslip {

/** A connection to a backend server, which carries one request at a time. */
struct ServerConnection {
    explicit ServerConnection(const boost::asio::any_io_executor& executor)
        : socket(executor)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    boost::asio::ip::tcp::socket socket;
    std::string receiveBuffer {}; ///< Bytes that have arrived and are not parsed yet.
    TimePoint idleSince {};
    std::optional<Duration> keepAlive {}; ///< How long the backend server keeps it while it is idle.
    bool hasCarriedRequest = false;
};

}
