#pragma once

#include "ColdPermitMessages.h"
#include "MemoryMessages.h"
#include "PeerReport.h"
#include "PrefillMessages.h"
#include "QuarantineMessages.h"
#include "ServiceMessages.h"

#include <chrono>
#include <variant>

namespace borageslip {

/** The part of a prompt that other requests share. */
struct SharedPrefix {
    uint64_t hash = 0; ///< 0 for none.
    uint64_t tokens = 0; ///< That a server does not prefill if it has the prefix in its prefix cache.

    bool operator==(const SharedPrefix&) const = default;
};

/** Sent to a server's coordinator to update the sender's usage of the server, or to request a reservation there.

    The usage is a total and includes the requested reservation, so that lost and repeated messages cause no lasting
    error.
    @see coordinatorOf */
struct ReservationMessage {
    std::string sender;
    uint64_t incarnation = 0; ///< Identifies the sender's process; increases with each start.
    uint64_t sequence = 0; ///< Shares one series with the sender's reports.
    ServerUsage usage; ///< With the whole prompt of a requested reservation, whether it is cached or not.
    bool isRequest = false; ///< Whether a reservation is requested.
    ReservationLimits limits {};
    SharedPrefix prefix {}; ///< Of the request.
    uint64_t promptTokens = 0; ///< Of the request; part of the usage.
    RequestPriority priority {};
    std::chrono::milliseconds waitWithin { 0 }; ///< For which the request waits for a slot if the server has none.
    std::optional<MemoryClaim> memory {}; ///< Absent if the sender doesn't count the memory of servers.

    bool operator==(const ReservationMessage&) const = default;
};

/** The coordinator's reply to a reservation request. */
struct ReservationReply {
    uint64_t sequence = 0; ///< Sequence of the request.
    bool isGranted = false;
    bool isWaiting = false; ///< Whether the request waits, and a second reply follows: for a slot, or, if it is granted, for the end of the prefill of its prefix.
    ServerUsage usage; ///< Total of all instances at the server, including a granted reservation.
    bool isPrefixCached = false; ///< Whether the server probably has the prefix in its cache; the usage is then without its tokens.

    bool operator==(const ReservationReply&) const = default;
};

/** Any message between instances. */
using PeerMessage = std::variant<PeerReport, ReservationMessage, ReservationReply, ServiceState, ServiceDecisions, CoordinatorNotice, ServerCrashNotice, ClearedPartsNotice, ConfigurationNotice, RateLimitsNotice, PrefillEndNotice, ColdPermitRequest, ColdPermitReply, ColdServerNotice>;

std::vector<uint8_t> encodeReservationMessage(const ReservationMessage&);
std::vector<uint8_t> encodeReservationReply(const ReservationReply&);

/** Decodes a message between instances. Errors: InvalidMessage when the bytes are not a valid message. */
Result<PeerMessage> decodePeerMessage(std::span<const uint8_t>);

}
