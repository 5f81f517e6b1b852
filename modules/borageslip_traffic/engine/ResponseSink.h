#pragma once

#include "../http/HttpMessages.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string_view>

namespace borageslip {

/** Takes the answer to one request towards its caller. Each call completes when the bytes have been handed over; false
    means that the caller has gone. */
class ResponseSink {
public:
    virtual ~ResponseSink() = default;

    /** Sends the head. @param length of the body; absent: the end is marked after the last bytes. */
    virtual boost::asio::awaitable<bool> begin(const HttpResponseHead&, std::optional<uint64_t> length) = 0;
    virtual boost::asio::awaitable<bool> write(std::string_view bytes) = 0;

    /** Marks the answer as complete. */
    virtual boost::asio::awaitable<bool> end() = 0;

    /** Ends the connection so that the answer cannot look complete. */
    virtual void abort() = 0;

    /** Sends an error of the fleet's own; only before begin(). */
    virtual boost::asio::awaitable<bool> sendError(const Error&) = 0;

    virtual bool hasBegun() const = 0;
    virtual bool isCallerDisconnected() const = 0;
};

}
