#pragma once

#include "../http/HttpMessages.h"
#include "../net/ServerConnection.h"
#include "RequestWrite.h"
#include <borageslip_scheduling/limits/MemoryBudget.h>

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <span>

namespace borageslip {

/** Reads one HTTP response from the connection to a backend server as it arrives.

    The asynchronous calls return false if the connection was lost, the bytes are not a valid HTTP response, or the memory
    budget does not allow to hold them. Call it from the event loop only. The connection and the budget must outlive it. */
class ResponseSource {
public:
    /** @param scratch shared read buffer; its content is copied or parsed before the next suspension. */
    ResponseSource(ServerConnection&, std::shared_ptr<const RequestWrite>, std::span<char> scratch, MemoryBudget&, ResponseReader::Body);

    ResponseReader& reader() { return m_reader; }
    const ResponseReader& reader() const { return m_reader; }

    boost::asio::awaitable<bool> readHead();

    /** Whether what arrived is not a valid HTTP response. */
    bool isInvalid() const { return m_isInvalid; }

    /** Completes when the server has received the whole request. Returns false if the connection was lost before. */
    boost::asio::awaitable<bool> awaitRequestReceived();

    /** @param retained bytes of the response that the caller of this function still holds. */
    boost::asio::awaitable<bool> readMore(size_t retained = 0);

    /** Reads and discards the rest of the response, so that the connection can be reused. Returns false if the
        connection was lost or too many bytes remain. */
    boost::asio::awaitable<bool> discardRest();

private:
    bool feed();

    /** Whether the response is complete, now that the server has closed its side of the connection. */
    bool isCompleteAtEnd();

    ServerConnection& m_connection;
    std::shared_ptr<const RequestWrite> m_requestWrite;
    std::span<char> m_scratch;
    MemoryBudget::Share m_memory;
    ResponseReader m_reader;
    bool m_isInvalid = false;
};

}
