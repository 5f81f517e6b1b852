#pragma once

#include <cstdint>

namespace borageslip {

/** Load that one instance has put on one backend server, or the total over several instances. */
struct ServerUsage {
    uint64_t server = 0; ///< Hash of the server's id.
    uint32_t inFlight = 0; ///< Requests.
    uint64_t pendingPrefill = 0; ///< Prompt tokens waiting for prefill.

    bool operator==(const ServerUsage&) const = default;
};

/** Limits on a server's usage below which a reservation may be granted. */
struct ReservationLimits {
    uint32_t slots = 0; ///< Concurrent requests at the server; 0 for unlimited.
    uint64_t pendingPrefill = 0; ///< Prompt tokens waiting for prefill at the server; 0 for unlimited.

    bool operator==(const ReservationLimits&) const = default;
};

}
