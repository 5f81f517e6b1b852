#pragma once

#include <borageslip_core/errors/Result.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

/** Requests of one instance at one backend server. */
struct ServerUsage {
    uint64_t server = 0; ///< Hash of its identity.
    uint32_t inFlight = 0;
    uint64_t pendingPrefill = 0; ///< Prompt tokens that wait to be read there.

    bool operator==(const ServerUsage&) const = default;
};

/** How the requests of one instance at one backend server have ended since the instance knows the server. */
struct ServerOutcomes {
    uint64_t server = 0; ///< Hash of its identity.
    uint32_t answers = 0;
    uint32_t failures = 0;

    bool operator==(const ServerOutcomes&) const = default;
};

/** What an instance tells the others, in one datagram. */
struct PeerReport {
    std::string sender;
    uint64_t incarnation = 0; ///< Of the sender's process; grows with each start.
    uint64_t sequence = 0;
    bool acceptsCallers = false; ///< Whether callers may be sent to it.
    std::vector<ServerUsage> usages; ///< Backend servers at which it has requests.
    std::vector<ServerOutcomes> outcomes {}; ///< Of the servers at which requests have ended lately.

    bool operator==(const PeerReport&) const = default;
};

/** Encodes a report as a CBOR array. */
std::vector<uint8_t> encodePeerReport(const PeerReport&);

/** Errors: InvalidMessage for bytes that are no report. */
Result<PeerReport> decodePeerReport(std::span<const uint8_t>);

}
