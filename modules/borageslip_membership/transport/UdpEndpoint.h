#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <borageslip_core/errors/Result.h>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace borageslip {

/** A UDP socket with its own thread, on which all handlers run.

    send() may be called from any thread. At most maxQueued datagrams are queued; further ones are dropped and counted. */
class UdpEndpoint {
public:
    using Receiver = std::function<void(std::span<const uint8_t> datagram, const std::string& from)>;

    static constexpr int maxQueued = 1024;

    /** @param address "ip:port"; port 0 selects a free port
        Errors: InvalidSettings if the address is malformed or cannot be bound. */
    static Result<std::unique_ptr<UdpEndpoint>> open(const std::string& address);

    ~UdpEndpoint();
    UdpEndpoint(const UdpEndpoint&) = delete;
    UdpEndpoint& operator=(const UdpEndpoint&) = delete;

    /** Starts the thread.
        @param onTick called once per period on the same thread as the receiver */
    void start(Receiver, std::chrono::milliseconds period, std::function<void()> onTick);
    /** Stops the thread. No handler runs after this returns. */
    void stop();

    void send(const std::string& to, std::vector<uint8_t> datagram);

    /** Returns the address that the socket is bound to, as "ip:port". */
    std::string address() const;
    /** Number of datagrams that were not sent, because the queue was full or sending failed. */
    uint64_t dropped() const { return m_dropped; }
    uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    using Socket = boost::asio::ip::udp::socket;

    UdpEndpoint();
    void receiveNext();
    void scheduleTick();

    boost::asio::io_context m_context;
    Socket m_socket;
    boost::asio::steady_timer m_timer;
    std::array<uint8_t, 2048> m_buffer {};
    boost::asio::ip::udp::endpoint m_peer;
    Receiver m_receiver;
    std::function<void()> m_onTick;
    std::chrono::milliseconds m_period {};
    std::atomic<int> m_queued = 0;
    std::atomic<uint64_t> m_dropped = 0;
    std::atomic<uint64_t> m_bytesReceived = 0;
    std::thread m_thread;
};

}
