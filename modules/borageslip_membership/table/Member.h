#pragma once

#include <borageslip_core/identity/Identifier.h>

#include <cstdint>
#include <string>

namespace borageslip {

/** State of a member, as defined by charts/member.json. */
enum class MemberState : uint8_t {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/** A daemon of the fleet as seen by another daemon. Addresses have the form "ip:port". */
struct Member {
    MemberId id;
    uint64_t incarnation = 0; ///< Raised by the member itself, to refute a suspicion or to announce a change.
    uint64_t startIncarnation = 0; ///< Incarnation at process start; constant while the process lives.
    Region region;
    FailureDomain failureDomain;
    std::string callerAddress;
    std::string innerAddress; ///< For requests between daemons.
    std::string gossipAddress;
    std::string operatorAddress;
    MemberState state = MemberState::Alive;
    bool isPlaceable = true; ///< May be the home of engines and an entry. False while the member is unready or leaving.

    bool operator==(const Member&) const = default;
};

}
