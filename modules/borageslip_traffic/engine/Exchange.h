#pragma once

#include "OpenRequest.h"
#include "ResponseSink.h"
#include "TrafficEngine.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace borageslip {

namespace detail {
    struct ExchangeContext;
}

/** Forwards one request to a backend server and returns the response to the caller.

    Waits for a reservation on a backend server, sends the request, retries it where the route and the retry budget
    allow, and delivers either the complete response or an error. An error states "not run" only if the request
    certainly did not run.

    Call it from the event loop only. The coroutine of run() keeps it alive.
    @see TrafficEngine, ResponseSink */
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    /** @param arrivedAt when the first byte of the request arrived; its timeouts count from then. */
    Exchange(TrafficEngine&, ResponseSink&, HttpRequest, TimePoint arrivedAt);

    /** Completes when the response has been written or the caller has disconnected. */
    boost::asio::awaitable<void> run();

    /** To be called when the caller closes its connection. Cancels the request at the backend server, except for a
        request that runs at most once, which is left to finish there. */
    void onCallerDisconnected();

    /** Ends the request because of a planned stop: with an answer, unless the caller has got a part of the response. */
    void endForStop(StopScope);

    /** How far the request has come. */
    OpenRequest openRequest() const;

private:
    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<void> finish(Error);

    std::shared_ptr<detail::ExchangeContext> m_context;
};

}
