#pragma once

#include "ServerConnection.h"

#include <borageslip_core/errors/Result.h>

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <memory>

namespace borageslip {

using ServerConnectionPtr = std::shared_ptr<ServerConnection>;

/** Connections to one backend server that are open and idle, and the way to new ones.
    Call it from the event loop that owns it. */
class ConnectionPool {
public:
    ConnectionPool(const Clock&, const boost::asio::any_io_executor&, const boost::asio::ip::tcp::endpoint&);
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    /** Returns an idle connection that is still open, or null. */
    ServerConnectionPtr takeIdle();

    /** Opens a connection. Errors: ServiceUnreachable when it was refused or not accepted within the limit. */
    static boost::asio::awaitable<Result<ServerConnectionPtr>> connect(boost::asio::any_io_executor, boost::asio::ip::tcp::endpoint, Duration limit);

    /** Keeps a connection whose last answer was complete for another request. */
    void returnConnection(ServerConnectionPtr);

    /** Closes the connections that have been idle for too long or were ended by the backend server. */
    void closeStale();
    void closeAll() { m_idle.clear(); }

    const boost::asio::ip::tcp::endpoint& endpoint() const { return m_endpoint; }
    const boost::asio::any_io_executor& executor() const { return m_executor; }

private:
    bool isUsable(ServerConnection&) const;

    const Clock& m_clock;
    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::deque<ServerConnectionPtr> m_idle; ///< The most recently used one is last.
};

}
