#pragma once

#include "../gossip/GossipTable.h"
#include "../table/Member.h"

#include <array>
#include <optional>
#include <vector>

namespace borageslip {

enum class SwimKind : uint8_t {
    Ping,
    PingRequest, ///< Asks the receiver to probe `target` on the sender's behalf.
    Ack,
    Update, ///< Unsolicited updates; the receiver does not reply.
    SyncRequest, ///< Carries bucket digests; the response holds the records of the buckets that differ.
    SyncResponse,
};

/** State of one member as known to the sender.

    An update without a profile is applied only if the receiver already has the profile of the same process. */
struct MemberUpdate {
    Member member; ///< Only id, incarnations, state and isPlaceable are set without a profile.
    bool hasProfile = false;
    MemberId reporter; ///< For a suspected member: the member whose probe of it failed.
};

/** Digests of a member table's records, which are assigned to buckets by the hash of the member id. */
using BucketDigests = std::array<uint32_t, 64>;

/** The decoded content of one membership datagram. */
struct SwimMessage {
    SwimKind kind = SwimKind::Ping;
    uint64_t sequence = 0;
    MemberId sender;
    uint64_t senderIncarnation = 0;
    uint64_t digest = 0; ///< Digest of the sender's whole member table.
    MemberId target; ///< PingRequest: the member to probe. Relayed Ack: the member that answered. Otherwise empty.
    std::optional<ConfigurationRevision> configuration;
    uint64_t configurationVersion = 0; ///< Version of the gossip entry that holds `configuration`.
    std::vector<MemberUpdate> updates;
    std::vector<GossipEntry> gossipEntries;
    std::optional<BucketDigests> buckets;
};

}
