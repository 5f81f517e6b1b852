#pragma once

#include <borageslip_core/identity/Identifier.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace borageslip {

/** Payload slots of the board. Each member owns one value in each slot. */
enum class GossipSlot : uint8_t {
    Configuration, ///< Sent by its owner in every datagram and not forwarded by others.
    Load,
    Opaque0,
    Opaque1,
    Opaque2,
    Opaque3,
};

inline constexpr size_t gossipSlotCount = 6;

/** One member's value of a slot. */
struct GossipEntry {
    MemberId member;
    GossipSlot slot = GossipSlot::Load;
    uint64_t version = 0;
    std::vector<uint8_t> payload;
};

/** Running work and number of the engines whose home is one member, for one model. */
struct ModelLoad {
    ModelId model;
    uint32_t running = 0;
    uint32_t engines = 0;
};

/** The configuration that a member has in force. */
struct ConfigurationRevision {
    uint64_t revision = 0;
    uint64_t digest = 0;
};

/** Small versioned values that members publish and that spread piggybacked on datagrams; the highest version wins.

    Bounded by members × slots × maxPayload. Not thread-safe: owned by a MemberTable. */
class GossipTable {
public:
    static constexpr size_t maxPayload = 96;
    static constexpr size_t maxEntries = 4096;

    /** @param firstVersion higher than any version of an earlier process with this id, e.g. the start incarnation. */
    GossipTable(MemberId self, uint64_t firstVersion);

    /** Sets this member's value. Returns false, and keeps the old value, when the payload is over maxPayload. */
    bool publish(GossipSlot, std::span<const uint8_t> payload);
    void publishConfiguration(ConfigurationRevision);
    /** Returns false when the loads do not fit a payload (about 8 models). */
    bool publishLoads(std::span<const ModelLoad>);

    /** Takes an entry from a peer. Returns whether it was newer than the one held. */
    bool merge(const GossipEntry&);
    void removeMember(const MemberId&);

    std::vector<GossipEntry> valuesOf(GossipSlot) const;
    std::optional<GossipEntry> valueOf(const MemberId&, GossipSlot) const;
    std::optional<ConfigurationRevision> ownConfiguration() const;
    uint64_t ownConfigurationVersion() const;
    /** Takes the mark that a member sent in the head of its datagram. */
    bool mergeConfiguration(const MemberId&, uint64_t version, ConfigurationRevision);
    /** The configuration that a member announced, if any. */
    std::optional<ConfigurationRevision> configurationOf(const MemberId&) const;

    /** Mean running work per engine over the members that the filter accepts; nothing without an engine. */
    std::optional<double> meanLoad(const ModelId&, const std::function<bool(const MemberId&)>& accepts) const;

    /** Chooses entries for one datagram: the least often sent first, and in rotation once all were sent enough.
        @param sizeOf encoded size of an entry
        @param sendLimit number of times after which an entry only fills spare room */
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
