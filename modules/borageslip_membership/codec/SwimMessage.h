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
    Update, ///< Updates only; not answered.
    SyncRequest, ///< Carries bucket digests; the answer holds the records of the buckets that differ.
    SyncResponse,
};

/** News about one member. Without a profile it applies only to a process whose profile the receiver already holds. */
struct MemberUpdate {
    Member member; ///< Only id, incarnations, state and isPlaceable are set without a profile.
    bool hasProfile = false;
    MemberId reporter; ///< For Suspect: the member whose probe failed.
};

/** Digests over the records of a member table, by hash of the id. */
using BucketDigests = std::array<uint32_t, 64>;

/** Content of one membership datagram. */
struct SwimMessage {
    SwimKind kind = SwimKind::Ping;
    uint64_t sequence = 0;
    MemberId sender;
    uint64_t senderIncarnation = 0;
    uint64_t digest = 0; ///< Over the sender's whole table.
    MemberId target;
    std::optional<ConfigurationRevision> configuration;
    uint64_t configurationVersion = 0;
    std::vector<MemberUpdate> updates;
    std::vector<GossipEntry> gossipEntries;
    std::optional<BucketDigests> buckets;
};

}
