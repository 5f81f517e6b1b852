#pragma once

#include <borageslip_core/time/Clock.h>

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

namespace borageslip {

/** A connection to a backend server. Carries one request at a time, without pipelining. */
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
    std::string receiveBuffer {}; ///< Received bytes that have not been parsed yet.
    TimePoint idleSince {};
    std::optional<Duration> keepAlive {}; ///< Idle timeout announced by the backend server; absent if not stated.
    bool hasCarriedRequest = false;
};

}
