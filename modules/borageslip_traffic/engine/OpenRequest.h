#pragma once

#include <borageslip_core/time/Clock.h>

#include <string>
#include <string_view>

namespace borageslip {

/** How far a request has come. */
enum class RequestPhase {
    Receiving, ///< Its bytes are still arriving.
    Admission, ///< It may wait for a confirmation of the configuration.
    Waiting, ///< For a slot or a reservation: in the queue, at the coordinator or between attempts.
    Connecting, ///< To a backend server.
    AwaitingHead, ///< Sent; no head of a response has arrived.
    AwaitingBody, ///< The head has arrived; the caller has got no byte of the response.
    Responding, ///< The caller has got a part of the response.
};

/** Name for log lines. */
std::string_view requestPhaseName(RequestPhase);

/** A request that has no complete response yet, for log lines. */
struct OpenRequest {
    std::string requestId; ///< Empty while it is being received.
    RequestPhase phase = RequestPhase::Receiving;
    TimePoint arrivedAt {};
    TimePoint phaseBegunAt {};
    std::string server; ///< Id of the backend server of the current attempt; empty for none.
};

}
