#pragma once

#include "AttemptState.h"
#include "ResponseSource.h"

#include <boost/asio/awaitable.hpp>

namespace borageslip::detail {

/** Receives the response of one attempt: finds the one that belongs to the request, applies what the backend server says
    about itself, and decides whether the response is delivered or the request is sent again. */
class ResponseReceiver {
public:
    /** The context and the state must outlive the receiver. */
    ResponseReceiver(ExchangeContext&, AttemptState&);

    boost::asio::awaitable<AttemptResult> receive();

private:
    void applyServerNotices(const ResponseMetadata&);
    void applyRateLimit(const ResponseMetadata&);
    bool isResponseToThisRequest(const ResponseMetadata&) const;
    bool tryReserveRetry();
    AttemptResult handleMisdirected();
    boost::asio::awaitable<AttemptResult> handleNotRun(ResponseSource&);

    /** Ends the attempt because the backend server failed the request after it may have begun to run it. */
    AttemptResult handleFailedRun(unsigned status);

    ExchangeContext& m_context;
    AttemptState& m_state;
};

}
