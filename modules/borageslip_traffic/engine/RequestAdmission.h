#pragma once

#include "ExchangeContext.h"

#include <boost/asio/awaitable.hpp>

namespace borageslip::detail {

/** Finds the route and the client account of one request. */
class RequestAdmission {
public:
    /** The context must outlive the admission. */
    explicit RequestAdmission(ExchangeContext&);

    /** A decision that rests on a route or a key that a configuration lacks is delayed until the configuration has been
        confirmed, if it may be out of date.
        Errors: those of TrafficEngine::admit; also StoreUnavailable if the configuration is not confirmed in time. */
    boost::asio::awaitable<Result<AdmittedRequest>> admit();

private:
    /** Admits the request once the configuration has been confirmed, so that no request is refused, or served as an
        anonymous one, because this instance has not learned of a change. Errors: also StoreUnavailable if it is not confirmed in time. */
    boost::asio::awaitable<Result<AdmittedRequest>> admitWhenConfirmed();

    ExchangeContext& m_context;
};

}
