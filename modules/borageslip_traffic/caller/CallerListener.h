#pragma once

#include "CallerSession.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace borageslip {

/** Accepts connections of callers and starts a CallerSession for each. Call it from the event loop that owns it. */
class CallerListener {
public:
    /** @param maxSessions number of connections from which on accepting is slowed down; further ones wait in the
        backlog. */
    CallerListener(TrafficEngine&, size_t maxSessions);
    CallerListener(const CallerListener&) = delete;
    CallerListener& operator=(const CallerListener&) = delete;

    /** Starts to accept connections. Errors: InvalidSettings if the address cannot be bound. */
    Status listen(const boost::asio::ip::tcp::endpoint&);

    /** Closes each connection after its current request. New connections are still accepted, because callers may not
        know of the drain yet. */
    void beginDrain();

    /** Stops accepting connections, after those that wait in the backlog have been accepted. */
    void close();

    /** Closes the connections on which no byte of a request has arrived. */
    void closeUnused();

    /** Ends requests because of a planned stop. */
    void endForStop(StopScope);

    /** To be called before the process ends: lets callers detect the responses that are incomplete. */
    void abortUnfinished();

    size_t sessionCount();

    /** The requests that have no complete response yet. */
    std::vector<OpenRequest> openRequests();

    /** Whether no session is serving a request. */
    bool isIdle();

private:
    boost::asio::awaitable<void> acceptLoop();
    void removeEndedSessions();

    /** Starts a session. At the limit, the session that has waited for a request for the longest time is closed in its
        favour; if none waits, the new one rejects its requests. */
    void startSession(boost::asio::ip::tcp::socket);
    void acceptBacklog();
    std::vector<std::shared_ptr<CallerSession>> sessions() const;
    bool closeLongestWaiting();

    TrafficEngine& m_engine;
    size_t m_maxSessions;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<CallerSession>> m_sessions;
    bool m_isDraining = false;
};

/** Opens a listening socket with a backlog that is long enough for a burst of new connections.
    Errors: InvalidSettings if the address cannot be bound. */
Status openAcceptor(boost::asio::ip::tcp::acceptor&, const boost::asio::ip::tcp::endpoint&);

}
