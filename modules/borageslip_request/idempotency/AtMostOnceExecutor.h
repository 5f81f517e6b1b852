#pragma once

#include "ClaimCoordinator.h"
#include "OutcomeTable.h"
#include "TicketIssuer.h"

#include <functional>

namespace borageslip {

/** A non-idempotent call, to be run at most once. */
struct AtMostOnceCall {
    enum class Origin {
        Caller,
        Peer, ///< Forwarded by another daemon; must not be forwarded again.
    };

    CallKey key;
    std::string requestDigest; ///< @see requestDigest()
    TimePoint deadline = TimePoint::max();
    Origin origin = Origin::Caller;
};

/** Returns a digest that distinguishes a repeat of a call from a different call under the same key. */
std::string requestDigest(std::string_view method, std::string_view path, std::string_view body);

/** Runs non-idempotent calls at most once (invariant I4).

    A ticket is executed only by the incarnation that it names, without a call to the store; any other key is claimed in
    the store first. Thread-safe; execute() blocks its thread until the call ends. */
class AtMostOnceExecutor {
public:
    /** Sends one call. Both methods are called at most once for each execute(). */
    class Runner {
    public:
        virtual ~Runner() = default;

        /** Sends the call to the backend server, without retries. Must return an error of a "not run" kind only if the call
            certainly did not run. */
        virtual Result<RecordedOutcome> run() = 0;

        /** Forwards the call to another daemon. */
        virtual Result<RecordedOutcome> forward(std::string_view target) = 0;
    };

    /** Returns the incarnation that has the outcomes of the given one: itself while it is running, otherwise the successor
        that took them over, or nothing. */
    using Resolver = std::function<std::optional<std::string>(std::string_view incarnation)>;

    /** All referenced objects must outlive the executor. */
    AtMostOnceExecutor(const Clock&, const TicketIssuer&, OutcomeTable&, ClaimCoordinator&, Resolver);

    /** Runs the call, or returns the outcome of the call that already ran under its key.
        Errors: IdempotencyKeyMissing, MalformedRequest (bad ticket), IdempotencyKeyReused, OutcomeUnknown,
        StoreUnavailable, Draining, Overloaded, DeadlineBeforeStart, DeadlineExceeded, PeerConnectionLost, and those of the
        runner that are "not run". */
    Result<RecordedOutcome> execute(const AtMostOnceCall&, Runner&);

    /** Retries writing outcomes to the store that could not be written before. Returns how many are still unwritten. */
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
