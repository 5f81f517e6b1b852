#pragma once

#include "../http2/Http2Connection.h"
#include "InnerResponder.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace borageslip {

/** Accepts HTTP/2 connections from other daemons and passes complete requests to a handler.

    The handler runs on the server's I/O thread and must not block; it should pass the responder to another thread.
    Requests without one of the accepted keys are answered with status 401.
    @see InnerClient */
class InnerServer {
public:
    using Handler = std::function<void(InnerRequest, std::shared_ptr<InnerResponder>)>;

    struct Options {
        std::vector<std::string> acceptedKeys; ///< Holds the old and the new key during a key rotation.
        detail::Http2Limits limits {};
    };

    InnerServer(Options, Handler);
    ~InnerServer();
    InnerServer(const InnerServer&) = delete;
    InnerServer& operator=(const InnerServer&) = delete;

    /** Binds to the address and starts accepting connections.
        @param port 0 selects a free port.
        Returns the port. Errors: InvalidSettings if the address is malformed or cannot be bound. */
    Result<int> start(const std::string& host, int port);
    void stop();

private:
    class Connection;

    void accept();

    const Options m_options;
    const Handler m_handler;
    const std::shared_ptr<boost::asio::io_context> m_context; ///< Shared with the responders, which may outlive the server.
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::thread m_thread;
};

}
