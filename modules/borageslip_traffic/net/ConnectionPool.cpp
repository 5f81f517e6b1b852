#include "ConnectionPool.h"

#include "SocketOptions.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace borageslip {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr Duration idleTimeout = std::chrono::seconds(8);

    // Idle connections are dropped this long before the backend server closes them, so that no request is sent while
    // the server closes the connection. The server announces its timeout in whole seconds.
    constexpr Duration keepAliveMargin = std::chrono::milliseconds(700);

}

ConnectionPool::ConnectionPool(const Clock& clock, const asio::any_io_executor& executor, const tcp::endpoint& endpoint)
    : m_clock(clock)
    , m_executor(executor)
    , m_endpoint(endpoint)
{
}

bool ConnectionPool::isUsable(ServerConnection& connection) const
{
    const auto limit = connection.keepAlive ? std::min(idleTimeout, *connection.keepAlive - keepAliveMargin) : idleTimeout;
    return m_clock.now() - connection.idleSince < limit && isOpenAndIdle(connection.socket);
}

ServerConnectionPtr ConnectionPool::takeIdle()
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (isUsable(*connection))
            return connection;
    }
    return nullptr;
}

asio::awaitable<boost::system::error_code> ConnectionPool::openSocket(ServerConnectionPtr connection, tcp::endpoint endpoint, Duration limit)
{
    asio::steady_timer timer(connection->socket.get_executor());
    timer.expires_after(limit);
    timer.async_wait([connection](boost::system::error_code failure) {
        if (!failure)
            connection->close();
    });
    boost::system::error_code failure;
    co_await connection->socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
    timer.cancel();
    if (!failure && !connection->socket.is_open())
        failure = asio::error::timed_out;
    co_return failure;
}

asio::awaitable<Result<ServerConnectionPtr>> ConnectionPool::connect(asio::any_io_executor executor, tcp::endpoint endpoint, Duration limit)
{
    auto connection = std::make_shared<ServerConnection>(executor);
    const auto failure = co_await openSocket(connection, endpoint, limit);
    if (failure)
        co_return Error { ErrorKind::ServiceUnreachable, failure.message() };
    configureSocket(connection->socket, PeerKind::Server);
    co_return connection;
}

void ConnectionPool::returnConnection(ServerConnectionPtr connection)
{
    connection->idleSince = m_clock.now();
    connection->hasCarriedRequest = true;
    m_idle.push_back(std::move(connection));
}

void ConnectionPool::closeStale()
{
    std::erase_if(m_idle, [this](const auto& connection) { return !isUsable(*connection); });
}

}
