#pragma once

#include "../collections/LruTable.h"
#include "EngineView.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace borageslip {

/** One prefix-cache event of an engine. The sequence numbers of an engine increase by one per event. */
struct CacheEvent {
    enum class Kind {
        Stored,
        Evicted,
        Cleared,
    };

    uint64_t sequence = 0;
    Kind kind = Kind::Stored;
    uint64_t prefix = 0; ///< Hash of the prefix; unused for Cleared.
};

/** An engine that caches a prefix, according to the events received. */
struct PrefixLocation {
    EngineHash engine = 0;
    bool isCertain = false; ///< False if events of the engine were missed after the prefix was stored.
};

/** Index from prefix to the engines that cache it, built from cache events that arrive late and with gaps. After a gap,
    the engine's entries are kept but marked as uncertain, because most of them are still correct. Bounded in bytes. */
class PrefixIndex {
public:
    /** Largest number of engines stored per prefix. Popular prefixes are on more engines, but a few are enough to
        choose from. */
    static constexpr size_t maxLocations = 4;

    explicit PrefixIndex(size_t maxBytes)
        : m_prefixes(LruTable<Locations>::withinBytes(maxBytes))
    {
    }

    void apply(EngineHash, const CacheEvent&);
    void removeEngine(EngineHash engine) { m_engines.erase(engine); }

    /** Returns the engines of a prefix, certain ones first. */
    std::vector<PrefixLocation> find(uint64_t prefix);

    size_t size() const { return m_prefixes.size(); }
    size_t bytes() const { return m_prefixes.bytes(); }

private:
    struct EngineState {
        uint64_t lastSequence = 0;
        uint32_t incarnation = 0; ///< Unique, and replaced when the cache is cleared; locations with another incarnation are invalid.
        uint32_t gaps = 0;
    };
    struct Location {
        EngineHash engine = 0;
        uint32_t incarnation = 0; ///< 0 marks an unused location.
        uint32_t gaps = 0;
    };
    using Locations = std::array<Location, maxLocations>;

    LruTable<Locations> m_prefixes;
    std::unordered_map<EngineHash, EngineState> m_engines;
    uint32_t m_lastIncarnation = 0;

public:
    static constexpr size_t bytesPerPrefix() { return LruTable<Locations>::bytesPerEntry(); }
};

}
