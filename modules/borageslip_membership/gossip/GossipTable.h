#pragma once

#include <borageslip_core/identity/Identifier.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace borageslip {

/** Identifies a gossiped value. Each member publishes one value per slot. */
enum class GossipSlot : uint8_t {
    Configuration, ///< Sent by its owner in every datagram; other members do not forward it.
    Load,
    Opaque0,
    Opaque1,
    Opaque2,
    Opaque3,
};

inline constexpr size_t gossipSlotCount = 6;

/** The value that a member published in a slot. */
struct GossipEntry {
    MemberId member;
    GossipSlot slot = GossipSlot::Load;
    uint64_t version = 0;
    std::vector<uint8_t> payload;
};

/** Load of one model on the engines whose home is a given member. */
struct ModelLoad {
    ModelId model;
    uint32_t running = 0; ///< Running work, summed over the engines.
    uint32_t engines = 0; ///< Number of engines.
};

/** Identifies the configuration that a member has in force. */
struct ConfigurationRevision {
    uint64_t revision = 0;
    uint64_t digest = 0;
};

/** Small versioned values that members publish and that are piggybacked on membership datagrams.

    The highest version of a value wins. Memory use is bounded by members × slots × maxPayload. Not thread-safe.
    @see MemberTable */
class GossipTable {
public:
    static constexpr size_t maxPayload = 96; ///< In bytes.
    static constexpr size_t maxEntries = 4096;

    /** @param firstVersion must be higher than any version published by an earlier process with this id, e.g. the start
            incarnation */
    GossipTable(MemberId self, uint64_t firstVersion);

    /** Sets this member's value for the slot. Returns false and keeps the old value if the payload exceeds maxPayload. */
    bool publish(GossipSlot, std::span<const uint8_t> payload);
    void publishConfiguration(ConfigurationRevision);
    /** Returns false if the loads do not fit in one payload (about 8 models). */
    bool publishLoads(std::span<const ModelLoad>);

    /** Merges an entry received from a peer. Returns true if it was stored because it is new or has a higher version. */
    bool merge(const GossipEntry&);
    void removeMember(const MemberId&);

    std::vector<GossipEntry> valuesOf(GossipSlot) const;
    std::optional<GossipEntry> valueOf(const MemberId&, GossipSlot) const;
    std::optional<ConfigurationRevision> ownConfiguration() const;
    uint64_t ownConfigurationVersion() const;
    /** Merges the configuration that a member sent in the header of its datagram. */
    bool mergeConfiguration(const MemberId&, uint64_t version, ConfigurationRevision);
    /** Returns the configuration that a member announced, if any. */
    std::optional<ConfigurationRevision> configurationOf(const MemberId&) const;

    /** Returns the mean running work per engine over the members that the filter accepts, or nullopt if they have no
        engines for the model. */
    std::optional<double> meanLoad(const ModelId&, const std::function<bool(const MemberId&)>& accepts) const;

    /** Chooses entries for one datagram, those sent the fewest times first. Entries that were sent sendLimit times follow
        in rotation if space remains.
        @param maxBytes total encoded size of the chosen entries
        @param sizeOf returns the encoded size of an entry in bytes */
    std::vector<GossipEntry> select(size_t maxBytes, int sendLimit, const std::function<size_t(const GossipEntry&)>& sizeOf);

private:
    struct Key {
        MemberId member;
        GossipSlot slot;
        bool operator<(const Key& other) const { return member == other.member ? slot < other.slot : member < other.member; }
    };
    struct StoredEntry {
        GossipEntry entry;
        int sendCount = 0;
        uint64_t lastSendNumber = 0;
    };

    MemberId m_self;
    uint64_t m_nextVersion;
    uint64_t m_lastSendNumber = 0;
    std::map<Key, StoredEntry> m_entries;
};

}
