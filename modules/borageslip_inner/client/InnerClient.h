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

/** Sends inner requests to other daemons, over one HTTP/2 connection to each. Thread-safe.

    A connection that was quiet for a while is confirmed by a ping before a request is written to it, so that a request
    is not lost in a connection that went silent: if the ping is not answered, a new connection is opened and the request,
    which was never sent, goes there.
    @see InnerServer, InnerStream */
class InnerClient {
public:
    struct Options {
        std::string key;
        std::chrono::milliseconds connectTimeout { 1000 };
        std::chrono::milliseconds validateAfterInactivity { 1000 }; ///< Quiet time after which a connection is confirmed first.
        std::chrono::milliseconds validationTimeout { 1000 };
        detail::Http2Limits limits {};
    };

    explicit InnerClient(Options);
    ~InnerClient();
    InnerClient(const InnerClient&) = delete;
    InnerClient& operator=(const InnerClient&) = delete;

    /** Starts a request. @param address "ip:port" of the peer's inner listener. */
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
