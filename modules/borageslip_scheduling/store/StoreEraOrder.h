#pragma once

#include <borageslip_core/time/Clock.h>

#include <cstdint>
#include <string_view>
#include <tuple>

namespace borageslip {

/** Position of a change in the history of a store that may come back from an older copy.

    Each return begins a new era, in which revisions of the previous one are issued again: a revision alone does not order
    changes. Era 0 is that of a store that names none; it has a single era forever. */
struct StorePosition {
    uint64_t era = 0;
    uint64_t revision = 0;

    bool operator==(const StorePosition&) const = default;
    bool operator<(const StorePosition& other) const { return std::tie(era, revision) < std::tie(other.era, other.revision); }
};

/** What an instance knows of the store's eras. */
struct StoreEraKnowledge {
    uint64_t dataEra = 0; ///< Of the keys that the instance holds.
    uint64_t newestEra = 0; ///< The newest one that any response has stated.
    TimePoint changedAt {}; ///< When the newest era was first seen.
};

/** What to do with a response of a source, by the era of its data. */
enum class SourceUse {
    Apply, ///< It continues the keys that are held.
    ReadAll, ///< It belongs to a newer era than the keys that are held: all keys have to be read.
    AwaitSource, ///< It belongs to an earlier era. The source is likely to notice the new one soon; ask it again.
    UseOther, ///< It belongs to an earlier era, and the source has not noticed the new one in time.
};

/** A pure function. @param sourceEra of the data in the response. */
SourceUse decideSourceUse(const StoreEraKnowledge&, uint64_t sourceEra, TimePoint now);

/** Time after a change of era at which an instance writes its record again. Differs between the instances, so that their
    writes do not exceed the rate that the store takes. A pure function. */
Duration recordDelay(std::string_view instance, uint64_t era);

/** Version of a backend server's entry, as its server counts them. */
struct EntryVersion {
    int64_t startedAtMs = 0;
    uint64_t sequence = 0; ///< Within one run of the server.
    bool isDraining = false;
};

/** Whether an entry that came back with the store's copy is older than the known one. A server that drains does not become
    ready again in one run without a new sequence number. A pure function. */
bool isOlderEntry(const EntryVersion& restored, const EntryVersion& known);

}
