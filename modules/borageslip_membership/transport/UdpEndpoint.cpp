#include "UdpEndpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <optional>

namespace borageslip {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

    std::optional<udp::endpoint> parseAddress(std::string_view text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        auto host = text.substr(0, colon);
        if (host.starts_with('[') && host.ends_with(']'))
            host = host.substr(1, host.size() - 2);
        uint16_t port = 0;
        const auto digits = text.substr(colon + 1);
        const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        boost::system::error_code error;
        const auto address = asio::ip::make_address(host, error);
        if (error || failure != std::errc() || end != digits.data() + digits.size())
            return std::nullopt;
        return udp::endpoint(address, port);
    }

    std::string addressText(const udp::endpoint& endpoint)
    {
        const auto host = endpoint.address().to_string();
        return (endpoint.address().is_v6() ? "[" + host + "]" : host) + ":" + std::to_string(endpoint.port());
    }

}

UdpEndpoint::UdpEndpoint()
    : m_context(1)
    , m_socket(m_context)
    , m_timer(m_context)
{
}

Result<std::unique_ptr<UdpEndpoint>> UdpEndpoint::open(const std::string& address)
{
    const auto local = parseAddress(address);
    if (!local)
        return Error { ErrorKind::InvalidSettings, "not an address of the form ip:port: " + address };
    std::unique_ptr<UdpEndpoint> endpoint(new UdpEndpoint);
    boost::system::error_code error;
    endpoint->m_socket.open(local->protocol(), error);
    if (!error)
        endpoint->m_socket.bind(*local, error);
    if (!error)
        endpoint->m_socket.non_blocking(true, error);
    if (error)
        return Error { ErrorKind::InvalidSettings, "cannot bind UDP socket to " + address + ": " + error.message() };
    return endpoint;
}

UdpEndpoint::~UdpEndpoint()
{
    stop();
}

void UdpEndpoint::start(Receiver receiver, std::chrono::milliseconds period, std::function<void()> onTick)
{
    m_receiver = std::move(receiver);
    m_onTick = std::move(onTick);
    m_period = period;
    receiveNext();
    scheduleTick();
    m_thread = std::thread([this] { m_context.run(); });
}

void UdpEndpoint::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void UdpEndpoint::send(const std::string& to, std::vector<uint8_t> datagram)
{
    if (m_queued >= maxQueued) {
        ++m_dropped;
        return;
    }
    ++m_queued;
    asio::post(m_context, [this, to, bytes = std::move(datagram)] {
        --m_queued;
        const auto peer = parseAddress(to);
        boost::system::error_code error;
        if (peer)
            m_socket.send_to(asio::buffer(bytes), *peer, 0, error);
        if (!peer || error)
            ++m_dropped;
    });
}

std::string UdpEndpoint::address() const
{
    boost::system::error_code error;
    return addressText(m_socket.local_endpoint(error));
}

void UdpEndpoint::receiveNext()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_peer, [this](const boost::system::error_code& error, size_t size) {
        if (error == asio::error::operation_aborted)
            return;
        // Other errors report that a datagram sent earlier could not be delivered, so receiving continues.
        if (!error) {
            m_bytesReceived += size;
            m_receiver(std::span(m_buffer).first(size), addressText(m_peer));
        }
        receiveNext();
    });
}

void UdpEndpoint::scheduleTick()
{
    m_timer.expires_after(m_period);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        m_onTick();
        scheduleTick();
    });
}

}
