#include "ObjectiveMeter.h"

namespace borageslip {

namespace {
    constexpr std::chrono::seconds flushInterval { 5 };
    constexpr std::string_view slowCause = "slow";

    void count(ObjectiveCounts& counts, bool isMet) { ++(isMet ? counts.met : counts.missed); }
}

ObjectiveMeter::ObjectiveMeter(ObjectiveTracker& tracker, Metrics& metrics, ObjectiveCaller caller, TimePoint receivedAt)
    : m_tracker(tracker)
    , m_metrics(metrics)
    , m_caller(std::move(caller))
    , m_receivedAt(receivedAt)
    , m_objectives(tracker.objectives())
    , m_nextFlush(receivedAt + flushInterval)
{
    for (size_t i = 0; i < m_objectives->size(); ++i) {
        const auto& objective = (*m_objectives)[i];
        if (appliesTo(objective, m_caller))
            m_pendingCounts.push_back({ i, objective.firstToken, objective.betweenTokens, {} });
    }
}

void ObjectiveMeter::token(TimePoint now)
{
    for (auto& pending : m_pendingCounts) {
        if (!m_lastTokenAt && pending.firstToken)
            count(pending.counts, now - m_receivedAt <= *pending.firstToken);
        else if (m_lastTokenAt && pending.betweenTokens)
            count(pending.counts, now - *m_lastTokenAt <= *pending.betweenTokens);
    }
    m_lastTokenAt = now;
    if (now >= m_nextFlush)
        flush(now, slowCause);
}

void ObjectiveMeter::ended(std::optional<ErrorKind> failure, TimePoint now)
{
    if (m_hasEnded)
        return;
    m_hasEnded = true;
    flush(now, slowCause);
    const bool isFailed = failure && isCountedFailure(*failure);
    if (failure && !isFailed)
        return;
    for (auto& pending : m_pendingCounts) {
        // An objective without time limits counts calls. A failure before the first token counts as a missed first token, a
        // later failure as a missed token of the stream.
        const bool isForCalls = !pending.firstToken && !pending.betweenTokens;
        if (isForCalls)
            count(pending.counts, !isFailed);
        else if (isFailed && (m_lastTokenAt ? pending.betweenTokens.has_value() : pending.firstToken.has_value()))
            count(pending.counts, false);
    }
    flush(now, failure ? errorTraits(*failure).name : slowCause);
}

void ObjectiveMeter::flush(TimePoint now, std::string_view cause)
{
    m_nextFlush = now + flushInterval;
    for (auto& pending : m_pendingCounts) {
        m_tracker.add(m_objectives, pending.index, { m_caller, m_engine, pending.counts, cause }, now);
        m_metrics.objective((*m_objectives)[pending.index].name, pending.counts.met, pending.counts.missed);
        pending.counts = {};
    }
}

}
