#pragma once

#include <borageslip_core/borageslip_core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** A stored value with the index of its last change. */
struct StoredValue {
    std::string key;
    std::string bytes;
    uint64_t modifyIndex = 0;
    std::string holder; ///< Session that holds the key's lock; empty when none does.
};

/** What a watch or a read saw: the value, if the key exists, and the index up to which the answer is current. */
struct StoreReading {
    std::optional<StoredValue> value;
    uint64_t index = 0;
};

/** The platform's key-value service: compare-and-swap, leases and watches.

    Every call may block for up to its timeout; call it from threads that may wait. Thread-safe.
    Errors: StoreUnavailable when the call certainly had no effect or was a read; StoreOutcomeUnknown when a write may
    have taken effect but its answer was lost; RevisionConflict when a comparison failed; LeaseLost for an unknown session.
    @see ConsulStore, MemoryStore */
class KeyValueStore {
public:
    virtual ~KeyValueStore() = default;

    virtual Result<StoreReading> read(std::string_view key) = 0;

    /** Waits until the key's index passes `afterIndex` or the time is over, then reads it. Counts as one call. */
    virtual Result<StoreReading> watch(std::string_view key, uint64_t afterIndex, std::chrono::milliseconds wait) = 0;

    /** Returns all values whose keys start with the prefix, sorted by key. */
    virtual Result<std::vector<StoredValue>> list(std::string_view prefix) = 0;

    /** Writes the value if the key's modification index still is `expectedIndex`; 0 means that the key must not exist.
        Returns the new modification index. */
    virtual Result<uint64_t> compareAndSwap(std::string_view key, std::string_view bytes, uint64_t expectedIndex) = 0;

    virtual Status remove(std::string_view key, uint64_t expectedIndex) = 0;

    /** Opens a session (lease). Keys locked with it are released when it is not renewed for `timeToLive`. */
    virtual Result<std::string> createSession(std::chrono::milliseconds timeToLive) = 0;
    virtual Status renewSession(std::string_view session) = 0;
    virtual Status endSession(std::string_view session) = 0;

    /** Locks the key for the session and writes the value. Returns the modification index, which grows with every
        acquisition and serves as the fencing number. Errors: LeaseLost when another session holds it. */
    virtual Result<uint64_t> acquire(std::string_view key, std::string_view bytes, std::string_view session) = 0;
    virtual Status release(std::string_view key, std::string_view session) = 0;
};

}
