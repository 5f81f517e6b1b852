#pragma once

#include "../http/HttpMessages.h"
#include "../net/ServerConnection.h"

#include <boost/asio/awaitable.hpp>
#include <span>

namespace borageslip {

/** Reads one answer from a backend server's connection as it arrives.

    The calls return false when the connection was lost or what it carried is no answer. Call it from the event loop; the
    connection must outlive it. */
class ResponseSource {
public:
    /** @param scratch buffer for bytes that are parsed at once. */
    ResponseSource(ServerConnection&, std::span<char> scratch, ResponseReader::Body);

    ResponseReader& reader() { return m_reader; }
    const ResponseReader& reader() const { return m_reader; }

    boost::asio::awaitable<bool> readHead();
    boost::asio::awaitable<bool> readMore();

    /** Reads the rest of an answer that nobody wants. False when the connection was lost or the rest has no end in sight. */
    boost::asio::awaitable<bool> discardRest();

private:
    ServerConnection& m_connection;
    std::span<char> m_scratch;
    ResponseReader m_reader;
};

}
