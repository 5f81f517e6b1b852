#pragma once

#include "OutcomeTable.h"
#include "RecordedOutcome.h"

#include <borageslip_platform/store/KeyValueStore.h>

#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <variant>

namespace borageslip {

/** Claims ordinary idempotency keys in the store, so that only one daemon runs the call.

    A claim is created before the call is sent and is never overwritten by another incarnation. The same incarnation may
    take over the claim of an attempt that ended as not run. Claims are not deleted when they expire; a later call with
    the same key is refused as OutcomeUnknown. Thread-safe; calls block on the store. */
class ClaimCoordinator {
public:
    struct Settings {
        int maxTries = 4;
        size_t maxNotRunAttempts = 4096; ///< Number of attempts recorded as not run; calls that find an older one get OutcomeUnknown.
        size_t maxValueBytes = 512 * 1024; ///< A larger outcome is not stored; only its incarnation's table has it.
        std::chrono::hours retention { 24 };
    };

    struct Claim {
        CallKey key;
        std::string requestDigest;
        std::string attempt;
        uint64_t index = 0; ///< Modification index of the stored claim.
    };

    struct ClaimedElsewhere {
        std::string incarnation;
    };

    using ClaimResult = std::variant<Claim, ClaimedElsewhere, RecordedOutcome, Error>;

    /** @param store and clock must outlive the coordinator. */
    ClaimCoordinator(KeyValueStore& store, const Clock& clock, std::string incarnation, Settings);

    /** Claims the key for a new attempt, or returns its current owner or outcome. Must not be called concurrently for the
        same key.
        Errors: StoreUnavailable (not run), IdempotencyKeyReused, OutcomeUnknown. */
    ClaimResult claim(const CallKey&, std::string_view requestDigest);

    /** Writes the outcome to the claim in the store. Errors: StoreUnavailable, StoreOutcomeUnknown, RevisionConflict; the
        caller may retry later. */
    Status complete(const Claim&, const RecordedOutcome&);

    /** Releases the claim of a call that was certainly not run. */
    void release(const Claim&);

    static std::string storeKey(const CallKey&);

private:
    struct StoredClaim;

    std::string serializeClaim(const Claim&, const RecordedOutcome*) const;
    void markNotRun(const std::string& attempt);
    bool isMarkedNotRun(const std::string& attempt) const;

    KeyValueStore* m_store;
    const Clock* m_clock;
    const std::string m_incarnation;
    const Settings m_settings;
    mutable std::mutex m_mutex;
    std::set<std::string> m_notRunAttempts;
    std::deque<std::string> m_notRunOrder;
};

}
