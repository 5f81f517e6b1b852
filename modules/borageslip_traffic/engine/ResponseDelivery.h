#pragma once

#include "AttemptState.h"
#include "ResponseSource.h"

#include <boost/asio/awaitable.hpp>

namespace borageslip::detail {

/** Passes the body of one response on to the caller, either once it is complete or while it is arriving. */
class ResponseDelivery {
public:
    /** The header of the response must have been read. All arguments must outlive the delivery. */
    ResponseDelivery(ExchangeContext&, AttemptState&, ResponseSource&);

    /** Delivers a response once it is complete; a long one while it is still arriving. */
    boost::asio::awaitable<AttemptResult> deliverBuffered();

    /** Delivers the events of a stream as they arrive. */
    boost::asio::awaitable<AttemptResult> deliverStream();

private:
    ExchangeContext& m_context;
    AttemptState& m_state;
    ResponseSource& m_source;
};

}
