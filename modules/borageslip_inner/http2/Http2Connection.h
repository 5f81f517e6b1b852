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

/** Size limits and timeouts of an HTTP/2 connection. */
struct Http2Limits {
    size_t maxBodyBytes = 16 * 1024 * 1024;
    size_t maxHeaderBytes = 64 * 1024;
    uint32_t maxConcurrentStreams = 4096;
    std::chrono::milliseconds pingInterval { 2000 }; ///< With open streams: time without received data after which a PING is sent, and minimum interval between PINGs.
    std::chrono::milliseconds receiveTimeout { 6000 }; ///< With open streams: time without received data after which the connection is closed.
};

/** An HTTP/2 connection over a TCP socket, as client or as server.

    Drives an nghttp2 session with asynchronous reads and writes. While streams are open, it sends PINGs when no data
    arrives and closes the connection when none arrives for Http2Limits::receiveTimeout. Pending handlers keep the
    connection alive.

    Not thread-safe: use it only on the thread of the socket's executor. */
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
public:
    enum class Role {
        Client,
        Server,
    };

    /** Receives the events of a connection, on the executor's thread. */
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void headerReceived(int32_t stream, std::string_view name, std::string_view value) = 0;

        /** Called when all fields of a HEADERS frame have been passed to headerReceived(). */
        virtual void headersCompleted(int32_t stream) = 0;

        virtual void dataReceived(int32_t stream, std::string_view bytes) = 0;

        /** Called when the peer has sent END_STREAM, that is, its complete message. */
        virtual void endStreamReceived(int32_t stream) = 0;

        /** Called when a stream is closed. @param errorCode HTTP/2 error code; NGHTTP2_NO_ERROR for a normal end. */
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

    /** Sends a request. Returns the stream id, or std::nullopt if the connection accepts no more streams. */
    std::optional<int32_t> submitRequest(const InnerHeaders&, nghttp2_data_provider*);
    void submitResponse(int32_t stream, const InnerHeaders&, nghttp2_data_provider*);

    /** Resumes sending a body whose data provider returned NGHTTP2_ERR_DEFERRED. */
    void resumeData(int32_t stream);

    void resetStream(int32_t stream, uint32_t errorCode);

    /** Reports received bytes as processed, which reopens the flow-control windows of the stream and the connection. */
    void consume(int32_t stream, size_t bytes);

    void ping();

    /** Sends pending frames, unless a write or an nghttp2 callback is in progress; these flush when they end. */
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
