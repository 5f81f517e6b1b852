#pragma once

#include "InnerMessage.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <borageslip_core/borageslip_core.h>
#include <chrono>
#include <functional>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>

namespace borageslip::detail {

struct Http2Limits {
    size_t maxBodyBytes = 16 * 1024 * 1024;
    size_t maxHeaderBytes = 64 * 1024;
    uint32_t maxConcurrentStreams = 4096;
    std::chrono::milliseconds pingInterval { 2000 }; ///< Quiet time with open streams after which a ping is sent.
    std::chrono::milliseconds receiveTimeout { 6000 }; ///< Quiet time with open streams after which the connection is abandoned.
};

/** One HTTP/2 connection over a socket: reads, writes, pings and the silence rule. Runs on its executor's thread only. */
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
public:
    enum class Role {
        Client,
        Server,
    };

    /** What happens on a connection. Called on the executor's thread. */
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void headerReceived(int32_t stream, std::string_view name, std::string_view value) = 0;
        virtual void headersCompleted(int32_t stream) = 0;
        virtual void dataReceived(int32_t stream, std::string_view bytes) = 0;
        virtual void endStreamReceived(int32_t stream) = 0;
        virtual void streamClosed(int32_t stream, uint32_t errorCode) = 0;
        virtual void pingAcknowledged() = 0;
        virtual void connectionClosed(std::string_view reason) = 0;
    };

    Http2Connection(boost::asio::ip::tcp::socket, Role, Http2Limits, Listener&);
    ~Http2Connection();
    Http2Connection(const Http2Connection&) = delete;
    Http2Connection& operator=(const Http2Connection&) = delete;

    void start();
    void close(std::string_view reason);

    /** Sends a request; returns the stream, or nothing when the connection takes no more. */
    std::optional<int32_t> submitRequest(const InnerHeaders&, nghttp2_data_provider*);
    void submitResponse(int32_t stream, const InnerHeaders&, nghttp2_data_provider*);
    void resumeData(int32_t stream);
    void resetStream(int32_t stream, uint32_t errorCode);
    void consume(int32_t stream, size_t bytes);
    void ping();
    void flush();

    bool isOpen() const { return m_isOpen; }
    std::chrono::steady_clock::duration timeSinceLastReceive() const { return std::chrono::steady_clock::now() - m_lastReceived; }

private:
    friend struct Callbacks;

    void readSome();
    void writePending();
    void scheduleLivenessCheck();
    void checkLiveness();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const Role m_role;
    const Http2Limits m_limits;
    Listener* m_listener;
    nghttp2_session* m_session = nullptr;
    std::array<uint8_t, 64 * 1024> m_readBuffer {};
    std::string m_writeBuffer;
    bool m_isWriting = false;
    bool m_isOpen = false;
    bool m_isInCallback = false;
    size_t m_openStreams = 0;
    std::chrono::steady_clock::time_point m_lastReceived;
    std::chrono::steady_clock::time_point m_lastPing;
};

}
