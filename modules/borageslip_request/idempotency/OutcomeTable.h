#pragma once

#include "RecordedOutcome.h"

#include <borageslip_core/errors/Result.h>
#include <borageslip_core/identity/Identifier.h>
#include <borageslip_core/time/Clock.h>

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace borageslip {

/** Identifies a call by its client account and idempotency key. */
struct CallKey {
    AccountId account;
    std::string idempotencyKey;

    bool operator<(const CallKey& other) const { return std::tie(account.text(), idempotencyKey) < std::tie(other.account.text(), other.idempotencyKey); }
};

/** Records the calls that this daemon incarnation has started, and the outcomes of those that ended.

    Bounded by bytes and age; the oldest outcomes are dropped first. A ticket that is not in the table may have run if it
    was issued no later than one whose outcome was dropped; it is refused as OutcomeUnknown. At a planned stop the table
    is closed and handed over to successors, which then answer repeated calls. Thread-safe.
    @see AtMostOnceExecutor, TicketIssuer */
class OutcomeTable {
public:
    struct Settings {
        size_t maxBytes = 32 * 1024 * 1024;
        Duration maxAge = std::chrono::hours(24);
        size_t maxInheritedTables = 64;
    };

    /** The future outcome of a running call. Other threads with the same call wait for it. */
    class PendingOutcome {
    public:
        void set(Result<RecordedOutcome>);
        std::optional<Result<RecordedOutcome>> waitFor(std::optional<Duration>);

    private:
        std::mutex m_mutex;
        std::condition_variable m_wake;
        std::optional<Result<RecordedOutcome>> m_outcome {};
    };

    /** The call is new; the caller of begin() must end it with finish() or drop(). */
    struct Started { };
    using PendingOutcomePtr = std::shared_ptr<PendingOutcome>;
    using Admission = std::variant<Started, PendingOutcomePtr, RecordedOutcome, Error>;

    /** @param clock must outlive the table. */
    OutcomeTable(const Clock& clock, std::string incarnation, Settings);

    const std::string& incarnation() const { return m_incarnation; }

    /** Starts a call, or returns the state of the call that was started under the same key.
        @param issuedAt time of issue of the ticket, in milliseconds; nothing for an ordinary key.
        Errors: IdempotencyKeyReused for another request under the key, OutcomeUnknown when the outcome was dropped or
        never became known, Overloaded when running calls fill the table, Draining after close(). */
    Admission begin(const CallKey&, std::string_view requestDigest, std::optional<uint64_t> issuedAt);

    /** Records that the call is about to be sent. Returns false, and reports a violation of I4, if the call was sent before
        or is not running. */
    bool markSent(const CallKey&);

    /** Records the outcome of a started call; an error is recorded unchanged. */
    void finish(const CallKey&, Result<RecordedOutcome>);

    /** Removes a started call that this incarnation did not run, and passes the result to the threads that wait for it. */
    void drop(const CallKey&, const Result<RecordedOutcome>&);

    /** Waits for a running call to end. Errors: DeadlineExceeded, and those of the call. */
    Result<RecordedOutcome> wait(const PendingOutcomePtr&, TimePoint deadline) const;

    /** Refuses new calls from now on; running calls may still end. */
    void close();

    /** Returns this table and the inherited ones as CBOR messages of about `maxPartBytes` each. Only after close() are
        they marked as complete, which means that this incarnation started no other calls. */
    std::vector<std::string> exportParts(size_t maxPartBytes) const;

    /** Imports one part of another incarnation's table. Parts may arrive in any order and more than once.
        Errors: InvalidMessage. */
    Status importPart(std::string_view cbor);

    bool hasInherited(std::string_view incarnation) const;

    /** Returns the outcome of a call of an incarnation that handed over its table. Errors: Draining (not run) when the table is complete and
        the ticket is not in it; OutcomeUnknown when it is incomplete or the outcome was dropped; IdempotencyKeyReused. */
    Result<RecordedOutcome> inheritedOutcome(std::string_view incarnation, const CallKey&, std::string_view requestDigest, std::optional<uint64_t> issuedAt);

    size_t bytes() const;

private:
    struct Entry {
        std::string digest;
        std::optional<uint64_t> issuedAt {};
        std::optional<Result<RecordedOutcome>> outcome {}; ///< Empty while the call is running.
        PendingOutcomePtr pending {};
        bool isSent = false;
        TimePoint endedAt {};
        size_t bytes = 0;
    };

    /** The calls started by one incarnation. */
    struct IncarnationCalls {
        std::map<CallKey, Entry> entries;
        std::multimap<TimePoint, CallKey> evictionOrder; ///< Ended calls by end time; the first is dropped first.
        size_t bytes = 0;
        uint64_t latestDroppedIssueTime = 0; ///< Latest time of issue of the tickets whose outcomes were dropped, in milliseconds.
        bool isComplete = false;
        std::set<size_t> parts;
    };

    static size_t sizeOf(const CallKey&, const Entry&);
    static Result<RecordedOutcome> outcomeOf(const Entry&, std::string_view requestDigest);
    static nlohmann::json toJson(const CallKey&, const Entry&, TimePoint now);
    static void exportCalls(const std::string& incarnation, const IncarnationCalls&, size_t maxPartBytes, TimePoint now, std::vector<std::string>& parts);
    void importEntry(IncarnationCalls&, const nlohmann::json&, TimePoint now) const;
    void evictOutcomes(IncarnationCalls&) const;
    void recordOutcome(IncarnationCalls&, const CallKey&, Entry&, Result<RecordedOutcome>) const;
    PendingOutcomePtr removeRunning(const CallKey&);

    const Clock* m_clock;
    const std::string m_incarnation;
    const Settings m_settings;
    mutable std::mutex m_mutex;
    bool m_isClosed = false;
    IncarnationCalls m_own;
    std::map<std::string, IncarnationCalls, std::less<>> m_inherited;
    std::deque<std::string> m_inheritedOrder;
};

}
