#pragma once

#include <borageslip_core/time/Clock.h>

#include <cstdint>

namespace borageslip {

/** Permission to send one request to one cold server. */
struct ColdPermit {
    uint64_t server = 0; ///< Hash of the server's id.
    TimePoint validUntil {};

    bool allows(uint64_t requested, TimePoint now) const { return requested == server && now < validUntil; }
};

}
