#pragma once

#include "AttemptState.h"

#include <boost/asio/awaitable.hpp>

namespace borageslip::detail {

/** Connects to a backend server, sends one request to it and has the response received. */
class ServerAttempt {
public:
    /** The context must outlive the attempt. */
    explicit ServerAttempt(ExchangeContext&);

    boost::asio::awaitable<AttemptResult> run(ReservationPtr);

private:
    boost::asio::awaitable<AttemptResult> send(AttemptState&);

    /** Undoes the attempt at a cold backend server for which there is no valid permit, before anything was sent. */
    AttemptResult withhold(AttemptState&);

    /** Reports the request as a suspect if the server has crashed before its response was complete. */
    boost::asio::awaitable<void> checkForCrash(const AttemptState&);
    AttemptResult abandon(const BackendServer&);
    std::string forwardedHead(const BackendServer&) const;
    static boost::asio::awaitable<void> writeRequest(std::shared_ptr<ExchangeContext>, ServerConnectionPtr, BackendServerPtr, std::string head, std::shared_ptr<RequestWrite>);

    ExchangeContext& m_context;
};

}
