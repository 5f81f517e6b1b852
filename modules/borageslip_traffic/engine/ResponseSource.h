#pragma once

#include "../http/HttpMessages.h"
#include "../net/ServerConnection.h"
#include <borageslip_scheduling/limits/MemoryBudget.h>

#include <boost/asio/awaitable.hpp>
#include <span>

namespace borageslip {

/** Reads one HTTP response from the connection to a backend server as it arrives.

    The asynchronous calls return false if the connection was lost, the bytes are not a valid HTTP response, or the memory
    budget does not allow to hold them. Call it from the event loop only. The connection and the budget must outlive it. */
class ResponseSource {
public:
    /** @param scratch shared read buffer; its content is copied or parsed before the next suspension. */
    ResponseSource(ServerConnection&, std::span<char> scratch, MemoryBudget&, ResponseReader::Body);

    ResponseReader& reader() { return m_reader; }
    const ResponseReader& reader() const { return m_reader; }

    boost::asio::awaitable<bool> readHead();

    /** @param retained bytes of the response that the caller of this function still holds. */
    boost::asio::awaitable<bool> readMore(size_t retained = 0);

    /** Reads and discards the rest of the response, so that the connection can be reused. Returns false if the
        connection was lost or too many bytes remain. */
    boost::asio::awaitable<bool> discardRest();

private:
    ServerConnection& m_connection;
    std::span<char> m_scratch;
    MemoryBudget::Share m_memory;
    ResponseReader m_reader;
};

}
