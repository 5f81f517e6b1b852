#pragma once

#include "CallerSession.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace borageslip {

/** Accepts the connections of callers. Call it from the event loop that owns it. */
class CallerListener {
public:
    /** @param maxSessions connections that are served at once; further ones wait to be accepted. */
    CallerListener(TrafficEngine&, size_t maxSessions);
    CallerListener(const CallerListener&) = delete;
    CallerListener& operator=(const CallerListener&) = delete;

    /** Errors: InvalidSettings when the address cannot be used. */
    Status listen(const boost::asio::ip::tcp::endpoint&);

    /** Lets each connection end after the request under way. New ones are accepted: callers may not know yet. */
    void beginDrain();
    void close();

    size_t sessionCount();
    bool isIdle();

private:
    boost::asio::awaitable<void> acceptLoop();
    void removeEndedSessions();

    TrafficEngine& m_engine;
    size_t m_maxSessions;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<CallerSession>> m_sessions;
    bool m_isDraining = false;
};

/** Opens a listening socket with a queue that holds a whole crest of new connections.
    Errors: InvalidSettings when the address cannot be used. */
Status openAcceptor(boost::asio::ip::tcp::acceptor&, const boost::asio::ip::tcp::endpoint&);

}
