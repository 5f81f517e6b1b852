#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace borageslip {

/** How far the bytes written to a TCP connection have come. */
enum class SendProgress {
    Acknowledged, ///< The peer's kernel has received all of them.
    Outstanding, ///< Some wait in this kernel or are on their way.
    ConnectionLost, ///< The connection was reset or has timed out, or is closed here.
};

/** Asks the kernel, without consuming a pending error of the socket. */
SendProgress sendProgress(boost::asio::ip::tcp::socket&);

}
