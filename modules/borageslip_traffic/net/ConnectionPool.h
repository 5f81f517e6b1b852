#pragma once

#include "ServerConnection.h"

#include <borageslip_core/errors/Result.h>

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <memory>

namespace borageslip {

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

/** Pool of idle connections to one backend server; also opens new ones. Call it from the event loop that owns it. */
class ConnectionPool {
public:
    ConnectionPool(const Clock&, const boost::asio::any_io_executor&, const boost::asio::ip::tcp::endpoint&);
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    /** Removes the most recently used open connection from the pool and returns it, or null. */
    ServerConnectionPtr takeIdle();

    /** Opens the connection's socket within the limit, after which it is closed. Returns why it could not be opened. */
    static boost::asio::awaitable<boost::system::error_code> openSocket(ServerConnectionPtr, boost::asio::ip::tcp::endpoint, Duration limit);

    /** Opens a connection. Errors: ServiceUnreachable if connecting failed or took longer than the limit. */
    static boost::asio::awaitable<Result<ServerConnectionPtr>> connect(boost::asio::any_io_executor, boost::asio::ip::tcp::endpoint, Duration limit);

    /** Adds a connection to the pool for reuse. Its last response must have been read completely. */
    void returnConnection(ServerConnectionPtr);

    /** Closes connections that were idle for too long or that the backend server closed. */
    void closeStale();
    void closeAll() { m_idle.clear(); }

    const boost::asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }
    const boost::asio::any_io_executor& executor() const { return m_executor; }

private:
    bool isUsable(ServerConnection&) const;

    const Clock& m_clock;
    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::deque<ServerConnectionPtr> m_idle; ///< The most recently used connection is last.
};

}
