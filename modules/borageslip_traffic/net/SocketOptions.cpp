#include "SocketOptions.h"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace borageslip {

using boost::asio::ip::tcp;

namespace {

    constexpr int callerUserTimeoutMs = 2000;
    // Leaves time for two retransmissions of a lost packet, at 200 and 600 ms.
    constexpr int serverUserTimeoutMs = 800;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 2;

    void setOption(int descriptor, int level, int option, int setting)
    {
        ::setsockopt(descriptor, level, option, &setting, sizeof(setting));
    }

}

void configureSocket(tcp::socket& socket, PeerKind peer)
{
    const int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, peer == PeerKind::Caller ? callerUserTimeoutMs : serverUserTimeoutMs);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    // Readers wait until the socket is readable and then read without blocking. The mode is set once here, because
    // Boost.Asio makes a system call each time it is set.
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
}

Result<tcp::endpoint> parseEndpoint(std::string_view text)
{
    const Error malformed { ErrorKind::InvalidMessage, "\"" + std::string(text) + "\" is not IP:PORT" };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed;
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), failure);
    const auto portText = text.substr(colon + 1);
    uint16_t port = 0;
    const auto [end, status] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (failure || status != std::errc() || end != portText.data() + portText.size() || port == 0)
        return malformed;
    return tcp::endpoint(address, port);
}

bool isOpenAndIdle(tcp::socket& socket)
{
    if (!socket.is_open())
        return false;
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void resetSocket(tcp::socket& socket)
{
    if (!socket.is_open())
        return;
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

}
