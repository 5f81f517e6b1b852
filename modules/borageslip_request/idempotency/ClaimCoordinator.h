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

/** Claims ordinary idempotency keys in the store, so that of all daemons only one runs the call.

    A claim is created before anything is sent and is never overwritten by another incarnation. Within an incarnation the
    claim of an attempt that ended as not run may be taken over. Claims are not deleted when they expire: a repeat after
    that is refused as OutcomeUnknown. Thread-safe; calls block on the store. */
class ClaimCoordinator {
public:
    struct Settings {
        int maxTries = 4;
        size_t maxNotRunAttempts = 4096; ///< Attempts remembered as not run; older ones are answered as OutcomeUnknown.
        size_t maxValueBytes = 512 * 1024; ///< An outcome over this size stays in its incarnation's table only.
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

    /** Claims the key for a new attempt, or tells who has it. Call it for one key at a time.
        Errors: StoreUnavailable (not run), IdempotencyKeyReused, OutcomeUnknown. */
    ClaimResult claim(const CallKey&, std::string_view requestDigest);

    /** Writes the outcome back. Errors: StoreUnavailable, StoreOutcomeUnknown, RevisionConflict; try again later. */
    Status complete(const Claim&, const RecordedOutcome&);

    /** Gives a claim back whose call was certainly not run. */
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
