#pragma once

#include "../collections/LruTable.h"
#include "EngineView.h"

#include <array>
#include <unordered_map>
#include <vector>

namespace borageslip {

/** One cache event of an engine. Sequence numbers of an engine rise by one. */
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

/** Where a prefix is cached, as far as the events tell. */
struct PrefixLocation {
    EngineHash engine = 0;
    bool isCertain = false; ///< False when events of the engine were missed after the prefix was stored.
};

/** Index from prefix to the engines that cache it, built from cache events that arrive late and with gaps. A gap marks
    the engine's entries as uncertain and keeps them: most of them are still true. Bounded in bytes. */
class PrefixIndex {
public:
    /** Engines remembered for one prefix; popular prefixes are on more engines, but a few are enough to choose from. */
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
        uint32_t incarnation = 0; ///< Differs from all earlier ones; entries of another incarnation are void.
        uint32_t gaps = 0;
    };
    struct Location {
        EngineHash engine = 0;
        uint32_t incarnation = 0; ///< 0 marks a free place.
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
