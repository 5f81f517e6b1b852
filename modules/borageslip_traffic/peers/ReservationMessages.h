#pragma once

#include "PeerReport.h"

#include <variant>

namespace borageslip {

/** Up to what a server may be used for a place to be granted there. */
struct ReservationLimits {
    uint32_t slots = 0; ///< Requests at the server; 0: not limited.
    uint64_t pendingPrefill = 0; ///< Prompt tokens that wait to be read there; 0: not limited.

    bool operator==(const ReservationLimits&) const = default;
};

/** Tells the keeper of a server's places what the sender uses there, or asks it for one more place.

    The use is stated as a total, so that a lost or repeated message does no harm, and counts the place asked for.
    @see PlaceKeeper */
struct ReservationMessage {
    std::string sender;
    uint64_t incarnation = 0; ///< Of the sender's process.
    uint64_t sequence = 0; ///< Shared with the sender's reports.
    ServerUsage usage;
    bool isRequest = false;
    ReservationLimits limits {};

    bool operator==(const ReservationMessage&) const = default;
};

/** The keeper's answer to a request for a place. */
struct ReservationReply {
    uint64_t sequence = 0; ///< Of the request.
    bool isGranted = false;
    ServerUsage usage; ///< Of all instances at the server, a granted place included.

    bool operator==(const ReservationReply&) const = default;
};

using PeerMessage = std::variant<PeerReport, ReservationMessage, ReservationReply>;

std::vector<uint8_t> encodeReservationMessage(const ReservationMessage&);
std::vector<uint8_t> encodeReservationReply(const ReservationReply&);

/** Decodes any message between instances. Errors: InvalidMessage for bytes that are none. */
Result<PeerMessage> decodePeerMessage(std::span<const uint8_t>);

}
