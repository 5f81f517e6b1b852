#pragma once

#include "../http2/Http2Connection.h"
#include "InnerStream.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace borageslip {

/** Sends requests to other daemons, over one HTTP/2 connection to each. Thread-safe.

    A connection that has been idle is validated with a PING before a request is sent on it, so that the request is not
    lost on a dead connection. If the PING is not acknowledged in time, a new connection is opened; the request has not
    been sent yet and goes there.
    @see InnerServer, InnerStream */
class InnerClient {
public:
    struct Options {
        std::string key;
        std::chrono::milliseconds connectTimeout { 1000 };
        std::chrono::milliseconds validateAfterInactivity { 1000 }; ///< Time without received data after which a connection is validated before use.
        std::chrono::milliseconds validationTimeout { 1000 };
        detail::Http2Limits limits {};
    };

    explicit InnerClient(Options);
    ~InnerClient();
    InnerClient(const InnerClient&) = delete;
    InnerClient& operator=(const InnerClient&) = delete;

    /** Starts a request without waiting for the connection; errors are reported by the stream.
        @param address "ip:port" of the peer's InnerServer. */
    std::unique_ptr<InnerStream> start(const std::string& address, InnerRequest);

    void stop();

private:
    class Peer;
    class Stream;
    struct StreamState;

    const Options m_options;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::map<std::string, std::shared_ptr<Peer>> m_peers;
    std::thread m_thread;
};

}
