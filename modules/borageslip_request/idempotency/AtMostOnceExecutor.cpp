#include "AtMostOnceExecutor.h"

#include "../attempt/AttemptChart.h"
#include <borageslip_core/encoding/Digest.h>

#include <exception>
#include <utility>

namespace borageslip {

namespace {

    // Bounds memory during a long store outage. The oldest outcomes over this number are not written to the store and
    // stay in the table only.
    constexpr size_t maxPendingWriteBacks = 1024;

    /** Returns the attempt event for a runner's result. */
    AttemptEvent eventOf(const Result<RecordedOutcome>& result)
    {
        if (isOk(result))
            return AttemptEvent::Finish;
        return error(result).mayHaveRun() ? AttemptEvent::GiveUp : AttemptEvent::NotRun;
    }

    Result<RecordedOutcome> runCatchingExceptions(AtMostOnceExecutor::Runner& runner)
    {
        try {
            return runner.run();
        } catch (const std::exception& exception) {
            return Error { ErrorKind::Internal, exception.what() };
        }
    }

}

std::string requestDigest(std::string_view method, std::string_view path, std::string_view body)
{
    return digestOf({ method, path, body });
}

AtMostOnceExecutor::AtMostOnceExecutor(const Clock& clock, const TicketIssuer& issuer, OutcomeTable& table, ClaimCoordinator& claims, Resolver resolver)
    : m_clock(&clock)
    , m_ticketIssuer(&issuer)
    , m_table(&table)
    , m_claims(&claims)
    , m_resolve(std::move(resolver))
{
}

Result<RecordedOutcome> AtMostOnceExecutor::execute(const AtMostOnceCall& call, Runner& runner)
{
    if (call.key.idempotencyKey.empty())
        return Error { ErrorKind::IdempotencyKeyMissing, "a call that must not be repeated needs an Idempotency-Key" };
    std::optional<uint64_t> issuedAt;
    const bool isTicket = TicketIssuer::isTicket(call.key.idempotencyKey);
    if (isTicket) {
        const auto ticket = m_ticketIssuer->verify(call.key.idempotencyKey);
        if (!isOk(ticket))
            return error(ticket);
        issuedAt = value(ticket).issuedAt;
        if (value(ticket).incarnation != m_table->incarnation())
            return queryOtherIncarnation(value(ticket).incarnation, call, issuedAt, runner);
    }
    auto admission = m_table->begin(call.key, call.requestDigest, issuedAt);
    if (auto* outcome = std::get_if<RecordedOutcome>(&admission))
        return std::move(*outcome);
    if (auto* refusal = std::get_if<Error>(&admission))
        return std::move(*refusal);
    if (const auto* running = std::get_if<OutcomeTable::PendingOutcomePtr>(&admission))
        return m_table->wait(*running, call.deadline);
    return claimAndSend(call, isTicket, runner);
}

Result<RecordedOutcome> AtMostOnceExecutor::claimAndSend(const AtMostOnceCall& call, bool isTicket, Runner& runner)
{
    if (isTicket)
        return sendOnce(call, std::nullopt, runner);
    auto claimResult = m_claims->claim(call.key, call.requestDigest);
    if (const auto* claim = std::get_if<ClaimCoordinator::Claim>(&claimResult))
        return sendOnce(call, *claim, runner);
    if (auto* outcome = std::get_if<RecordedOutcome>(&claimResult)) {
        m_table->finish(call.key, *outcome);
        return std::move(*outcome);
    }
    Result<RecordedOutcome> result;
    if (const auto* elsewhere = std::get_if<ClaimCoordinator::ClaimedElsewhere>(&claimResult))
        result = queryOtherIncarnation(elsewhere->incarnation, call, std::nullopt, runner);
    else
        result = std::get<Error>(std::move(claimResult));
    m_table->drop(call.key, result);
    return result;
}

Result<RecordedOutcome> AtMostOnceExecutor::sendOnce(const AtMostOnceCall& call, const std::optional<ClaimCoordinator::Claim>& claim, Runner& runner)
{
    Attempt attempt;
    if (claim)
        static_cast<void>(attempt.fire(AttemptEvent::Claim));
    Result<RecordedOutcome> result = Error { ErrorKind::DeadlineBeforeStart, "the deadline passed before the call was sent" };
    if (m_clock->now() >= call.deadline)
        static_cast<void>(attempt.fire(AttemptEvent::Refuse));
    else {
        if (!m_table->markSent(call.key))
            return Error { ErrorKind::Internal, "the call was already sent or is not running" };
        static_cast<void>(attempt.fire(AttemptEvent::Send));
        result = runCatchingExceptions(runner);
        static_cast<void>(attempt.fire(eventOf(result)));
    }
    if (isOk(result)) {
        m_table->finish(call.key, result);
        if (claim)
            writeBack({ *claim, value(result) });
        return result;
    }
    if (attempt.mayHaveRun()) {
        result = Error { ErrorKind::OutcomeUnknown, error(result).detail };
        m_table->finish(call.key, result);
        return result;
    }
    if (claim)
        m_claims->release(*claim);
    result = attempt.checkedError(error(result));
    m_table->drop(call.key, result);
    return result;
}

Result<RecordedOutcome> AtMostOnceExecutor::queryOtherIncarnation(const std::string& incarnation, const AtMostOnceCall& call, std::optional<uint64_t> issuedAt, Runner& runner)
{
    if (m_table->hasInherited(incarnation))
        return m_table->inheritedOutcome(incarnation, call.key, call.requestDigest, issuedAt);
    const auto target = call.origin == AtMostOnceCall::Origin::Caller ? m_resolve(incarnation) : std::nullopt;
    if (!target || *target == m_table->incarnation())
        return Error { ErrorKind::OutcomeUnknown, "the instance that may have run the call is no longer running" };
    auto result = runner.forward(*target);
    // An earlier call under this key may have run on that instance, so failing to reach it must not be reported as "not run".
    if (!isOk(result) && error(result).kind == ErrorKind::PeerUnreachable)
        return Error { ErrorKind::PeerConnectionLost, error(result).detail };
    return result;
}

void AtMostOnceExecutor::writeBack(WriteBack entry)
{
    if (isOk(m_claims->complete(entry.claim, entry.outcome)))
        return;
    const std::lock_guard lock(m_mutex);
    m_pendingWriteBacks.push_back(std::move(entry));
    if (m_pendingWriteBacks.size() > maxPendingWriteBacks)
        m_pendingWriteBacks.pop_front();
}

size_t AtMostOnceExecutor::flushWriteBacks()
{
    std::deque<WriteBack> entries;
    {
        const std::lock_guard lock(m_mutex);
        entries.swap(m_pendingWriteBacks);
    }
    for (auto& entry : entries)
        writeBack(std::move(entry));
    const std::lock_guard lock(m_mutex);
    return m_pendingWriteBacks.size();
}

}
