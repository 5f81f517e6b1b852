#pragma once

#include "../net/ServerConnection.h"
#include "ExchangeContext.h"
#include "RequestWrite.h"
#include "ReservationWait.h"
#include <borageslip_request/attempt/AttemptChart.h>

namespace borageslip::detail {

/** How one attempt to send a request ended. */
enum class AttemptResult {
    Delivered, ///< The complete response was delivered to the caller.
    Abandoned, ///< The server was evacuated before the request was written.
    NotPermitted, ///< The backend server is cold, and there is no valid permit for the request. Nothing was sent.
    NotSent, ///< The request did not reach the intended backend server.
    NotRun, ///< The backend server reported that it did not run the request.
    Lost, ///< The request may have run, but its response is missing or incomplete.
    Aborted, ///< The caller disconnected or the deadline passed, or the response was cut off after its start.
};

/** State of one attempt to send a request, with what its end changes in the request and the backend server. */
struct AttemptState {
    /** Closes the connection and records that the response is missing or incomplete. */
    AttemptResult handleLostResponse(std::string_view reason);
    AttemptResult handleLostConnection(std::string_view reason);

    /** Returns the connection to the pool of the server, or closes it if it cannot be used again. */
    void releaseConnection(const ResponseReader&);

    /** Clears the parts of the prompt once the response goes on after its first event. */
    void recordProgress();
    void recordCompletion();

    ExchangeContext& context;
    ReservationPtr reservation;
    BackendServerPtr server;
    ServerConnectionPtr connection;
    Attempt attempt {};
    TimePoint sentAt {};
    TimePoint bodyBegunAt {}; ///< When the first event or body bytes arrived.
    size_t earlierEvents = 0; ///< Events that the caller got from earlier attempts.
    bool isResponseBegun = false; ///< Whether the header of the response has arrived.
    bool isConnectionLost = false;
    bool hasProgressed = false; ///< Whether the response went on after its first event, or is complete. Clears the parts of the prompt; until then a crash makes them suspects.
    std::shared_ptr<RequestWrite> write = std::make_shared<RequestWrite>();
};

}
