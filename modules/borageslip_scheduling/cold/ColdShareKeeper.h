#pragma once

#include "ColdShareRights.h"

#include <random>
#include <set>

namespace borageslip {

/** A key of a quota share in the store. */
struct ColdShareKey {
    ColdShareId id;
    std::string claim; ///< Differs between all leases of all processes.
    uint64_t revision = 0; ///< Of the key in the store.
};

/** The keys of quota shares in the store. The marker of a share is a key without a lease that is written together with the
    share's key, so that its revision shows whether the share has had another holder since. */
struct ColdShareKeys {
    std::vector<ColdShareKey> shares {};
    std::map<ColdShareId, uint64_t> markerRevisions {}; ///< Of the markers that exist.
};

/** Times of the leases of quota shares. */
struct ColdShareTimes {
    Duration timeToLive = std::chrono::seconds(4);
    Duration margin = std::chrono::milliseconds(400); ///< By which a right ends before its lease; covers clocks that run at different rates.
    Duration renewal = std::chrono::milliseconds(2000);
};

/** Decides which calls to the store acquire and keep quota shares, and from the results which shares this instance holds.

    A share is created under a lease only a whole time to live after the store has said that it is missing, in the same era and
    if its marker has not been written since. The store then last listed the key for an earlier holder longer ago than a time
    to live, so that its right has ended. A right is extended only if the store has renewed the lease
    and then listed the share's key with the current claim, both in the era of the lease. It then lasts from when the renewal
    was sent for the time to live, less a margin.

    A state machine without I/O: the owner carries out the call that next() returns and reports its result. Not thread-safe. */
class ColdShareKeeper {
public:
    enum class Call {
        None, ///< Nothing to do at present.
        ReadKeys, ///< Read the keys of all shares from the store itself.
        GrantLease,
        CreateKey, ///< Create the key under the lease and write the marker, if the key does not exist and the marker has this revision.
        RenewLease,
        RemoveKey, ///< Remove a key that this instance wrote and does not hold, if it has this revision.
        EndLease,
    };

    struct Step {
        Call call = Call::None;
        ColdShareId share {}; ///< Of CreateKey and RemoveKey.
        uint64_t lease = 0;
        uint64_t revision = 0; ///< Of RemoveKey and CreateKey; 0 if the marker does not exist.
    };

    /** @param seed makes claims unique and differs between instances. */
    ColdShareKeeper(ColdShareRights&, uint64_t seed, ColdShareTimes = {});

    /** Sets the shares that should be held by some instance; none while the part is disabled. */
    void setWanted(std::set<ColdShareId> wanted) { m_wanted = std::move(wanted); }
    void setInstanceCount(size_t count) { m_instanceCount = std::max<size_t>(count, 1); }

    /** Gives up all shares. */
    void beginStop();

    /** To be called when a watch shows that the key was written or removed. Only a hint. */
    void keyWritten(const ColdShareKey&);
    void keyRemoved(const ColdShareId&);

    Step next(TimePoint now);

    /** Results of the calls. @param sentAt when the call was sent. @param era of the store, as stated by the response. */
    void leaseGranted(uint64_t lease, uint64_t era, TimePoint sentAt);
    void leaseRenewed(uint64_t era, TimePoint sentAt);
    void leaseLost(uint64_t era);
    void leaseEnded();
    void keyCreated(const ColdShareId&, uint64_t era, TimePoint now);
    void keyExists(const ColdShareId&, uint64_t era);
    void keysRead(const ColdShareKeys&, uint64_t era, TimePoint now);

    /** The call had no response: it may have taken effect, now or later. */
    void callFailed(const Step&, TimePoint now);

    /** Claim to be written into created keys. */
    const std::string& claim() const { return m_claim; }

private:
    /** When the store first said in this era that a key is missing. */
    struct Absence {
        TimePoint since {};
        uint64_t markerRevision = 0;
    };

    /** Records the era of a response. Returns false if the response is from before a change that is known already. */
    bool recordEra(uint64_t era);
    void abandonLease();
    void drop(const ColdShareId&);
    TimePoint rightEnd() const { return m_renewedAt + m_times.timeToLive - m_times.margin; }
    void recordAbsences(const ColdShareKeys&, const std::set<ColdShareId>& listed, TimePoint now);
    std::vector<ColdShareId> missing() const;
    std::optional<Step> acquisition(TimePoint now);
    bool isWellSupplied(const ColdShareId&) const;
    bool draws(double probability);

    ColdShareRights& m_rights;
    ColdShareTimes m_times;
    std::mt19937_64 m_random;
    std::set<ColdShareId> m_wanted;
    std::set<ColdShareId> m_present; ///< Keys that exist, as far as known.
    size_t m_instanceCount = 1;
    std::optional<uint64_t> m_era {}; ///< Latest era of the store that a response stated.
    std::map<ColdShareId, Absence> m_missing;
    uint64_t m_lease = 0; ///< 0 for none.
    uint64_t m_leaseEra = 0;
    std::string m_claim;
    TimePoint m_renewedAt {}; ///< When the latest successful renewal or grant was sent.
    TimePoint m_nextRenewalAt {};
    TimePoint m_nextDrawAt {};
    bool m_mustRead = false;
    std::set<ColdShareId> m_held; ///< Created under the lease; the right may have ended.
    std::map<ColdShareId, TimePoint> m_unsure; ///< Creations without a response, by the time until which they may be carried out.
    std::set<std::string> m_formerClaims;
    std::map<ColdShareId, uint64_t> m_leftovers; ///< Revisions of keys that this instance wrote and does not hold.
    bool m_isStopping = false;
};

}
