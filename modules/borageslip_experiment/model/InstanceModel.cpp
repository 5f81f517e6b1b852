#include "InstanceModel.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>

namespace borageslip {

namespace {

    constexpr Duration ejectionDuration = std::chrono::milliseconds(500);

}

InstanceModel::InstanceModel(size_t engines, size_t instances)
    : queue(maxWaitingRequests)
    , retryBudget(FleetRetryBudget::Limits {})
    , m_outcomes(engines)
    , m_ownUsage(engines)
    , m_reportedUsage(engines)
    , m_peerUsage(engines)
    , m_statedUsage(engines)
    , m_ejectedUntil(engines)
    , m_recentPrefixes(engines)
{
    retryBudget.setInstanceCount(instances);
    for (size_t i = 0; i < engines; ++i)
        health.add(hashOf(i));
}

uint64_t InstanceModel::hashOf(size_t engine)
{
    return hashBytes("engine-" + std::to_string(engine));
}

void InstanceModel::begin(size_t engine, int64_t pendingPrefill)
{
    ++m_ownUsage[engine].inFlight;
    m_ownUsage[engine].pendingPrefill += pendingPrefill;
}

void InstanceModel::end(size_t engine)
{
    --m_ownUsage[engine].inFlight;
}

int64_t InstanceModel::uncachedTokens(size_t engine, const CallerRequest& request)
{
    const bool isCached = request.prefix == 0 || m_recentPrefixes[engine].record(request.prefix);
    return isCached ? request.promptTokens : request.promptTokens + request.requestClass->prefixTokens;
}

void InstanceModel::markReported()
{
    m_reportedUsage = m_ownUsage;
    std::fill(m_outcomes.begin(), m_outcomes.end(), Outcomes {});
}

void InstanceModel::recordAnswer(size_t engine, Duration toFirstToken, TimePoint sentAt, TimePoint now)
{
    ++m_outcomes[engine].answers;
    health.recordAnswer(hashOf(engine), toFirstToken, sentAt, now);
}

void InstanceModel::recordFailure(size_t engine, TimePoint now)
{
    ++m_outcomes[engine].failures;
    health.recordFailure(hashOf(engine), now, now);
}

void InstanceModel::applyPeerUsage(const InstanceModel& other)
{
    // Only the sum over all other instances is kept, so the change since the last report is added to it.
    for (size_t engine = 0; engine < m_peerUsage.size(); ++engine) {
        m_peerUsage[engine].inFlight += other.m_ownUsage[engine].inFlight - other.m_reportedUsage[engine].inFlight;
        m_peerUsage[engine].pendingPrefill += other.m_ownUsage[engine].pendingPrefill - other.m_reportedUsage[engine].pendingPrefill;
    }
}

void InstanceModel::applyPeerOutcomes(const InstanceModel& other, TimePoint now)
{
    for (size_t engine = 0; engine < m_outcomes.size(); ++engine)
        health.recordPeerOutcomes(hashOf(engine), other.m_outcomes[engine].answers, other.m_outcomes[engine].failures, now);
}

void InstanceModel::ejectUnreachable(size_t engine, Duration now)
{
    m_ejectedUntil[engine] = now + ejectionDuration;
}

}
