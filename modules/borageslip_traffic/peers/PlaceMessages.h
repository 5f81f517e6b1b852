#pragma once

#include "PeerReport.h"

#include <variant>

namespace borageslip {

/** Up to what a server may be used for a place to be granted there. */
struct PlaceTerms {
    uint32_t slots = 0; ///< Requests at the server; 0: not limited.
    uint64_t pendingPrefill = 0; ///< Prompt tokens that wait to be read there; 0: not limited.

    bool operator==(const PlaceTerms&) const = default;
};

/** Tells the keeper of a server's places what the sender uses there, or asks it for one more place.

    The use is stated as a total, so that a lost or repeated message does no harm, and counts the place asked for.
    @see PlaceKeeper */
struct PlaceMessage {
    std::string sender;
    uint64_t incarnation = 0; ///< Of the sender's process.
    uint64_t sequence = 0; ///< Shared with the sender's reports.
    ServerUse use;
    bool isRequest = false;
    PlaceTerms terms {};

    bool operator==(const PlaceMessage&) const = default;
};

/** The keeper's answer to a request for a place. */
struct PlaceAnswer {
    uint64_t sequence = 0; ///< Of the request.
    bool isGranted = false;
    ServerUse use; ///< Of all instances at the server, a granted place included.

    bool operator==(const PlaceAnswer&) const = default;
};

using PeerMessage = std::variant<PeerReport, PlaceMessage, PlaceAnswer>;

std::vector<uint8_t> encodePlaceMessage(const PlaceMessage&);
std::vector<uint8_t> encodePlaceAnswer(const PlaceAnswer&);

/** Decodes any message between instances. Errors: InvalidMessage for bytes that are none. */
Result<PeerMessage> decodePeerMessage(std::span<const uint8_t>);

}
