#pragma once

#include "ClaimCoordinator.h"
#include "OutcomeTable.h"
#include "TicketIssuer.h"

#include <functional>

namespace borageslip {

/** A call that must run at most once. */
struct AtMostOnceCall {
    enum class Origin {
        Caller,
        Peer, ///< Forwarded by another daemon; not forwarded again.
    };

    CallKey key;
    std::string requestDigest; ///< @see requestDigest()
    TimePoint deadline = TimePoint::max();
    Origin origin = Origin::Caller;
};

/** Digest by which a repeat of a call is told from another call under the same key. */
std::string requestDigest(std::string_view method, std::string_view path, std::string_view body);

/** Runs non-idempotent calls at most once (invariant I4).

    A ticket is executed only by the incarnation that it names, without any store call; any other key is claimed in the
    store first. Thread-safe; execute() blocks its thread until the call ends. */
class AtMostOnceExecutor {
public:
    /** Carries one call out. Both methods are called at most once for each execute(). */
    class Runner {
    public:
        virtual ~Runner() = default;

        /** Sends the call to the back end, without any retry. An error of a kind that is "not run" must be certain. */
        virtual Result<RecordedOutcome> run() = 0;

        /** Passes the call on to another daemon. */
        virtual Result<RecordedOutcome> forward(std::string_view target) = 0;
    };

    /** Returns the incarnation that answers for the given one: itself while it lives, otherwise a successor that took over
        its outcomes, or nothing. */
    using Resolver = std::function<std::optional<std::string>(std::string_view incarnation)>;

    /** All parts must outlive the executor. */
    AtMostOnceExecutor(const Clock&, const TicketIssuer&, OutcomeTable&, ClaimCoordinator&, Resolver);

    /** Runs the call, or returns the outcome of the call that ran under its key.
        Errors: IdempotencyKeyMissing, MalformedRequest (bad ticket), IdempotencyKeyReused, OutcomeUnknown,
        StoreUnavailable, Draining, Overloaded, DeadlineBeforeStart, DeadlineExceeded, PeerConnectionLost, and those of the
        runner that are "not run". */
    Result<RecordedOutcome> execute(const AtMostOnceCall&, Runner&);

    /** Retries outcomes that could not be written back to the store. Returns how many remain. */
    size_t flushWriteBacks();

private:
    struct WriteBack {
        ClaimCoordinator::Claim claim;
        RecordedOutcome outcome;
    };

    Result<RecordedOutcome> claimAndSend(const AtMostOnceCall&, bool isTicket, Runner&);
    Result<RecordedOutcome> sendOnce(const AtMostOnceCall&, const std::optional<ClaimCoordinator::Claim>&, Runner&);
    Result<RecordedOutcome> queryOtherIncarnation(const std::string& incarnation, const AtMostOnceCall&, std::optional<uint64_t> issuedAt, Runner&);
    void writeBack(WriteBack);

    const Clock* m_clock;
    const TicketIssuer* m_ticketIssuer;
    OutcomeTable* m_table;
    ClaimCoordinator* m_claims;
    const Resolver m_resolve;
    std::mutex m_mutex;
    std::deque<WriteBack> m_pendingWriteBacks;
};

}
