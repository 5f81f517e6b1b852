#include "EngineAdmission.h"

#include <algorithm>
#include <borageslip_core/errors/Invariant.h>
#include <cmath>

namespace borageslip {

namespace {

    constexpr std::array allClasses { WorkClass::Urgent, WorkClass::Standard, WorkClass::Long };

    Error overloaded(Duration wait)
    {
        const auto retryAfter = std::max(std::chrono::ceil<std::chrono::milliseconds>(wait), std::chrono::milliseconds(100));
        return { ErrorKind::Overloaded, "the expected wait exceeds the deadline or the queue is full", retryAfter };
    }

}

EngineAdmission::EngineAdmission(const Settings& settings)
    : m_settings(settings)
    , m_queues { FairQueue { settings.maxQueued, settings.maxQueuedPerAccount }, FairQueue { settings.maxQueued, settings.maxQueuedPerAccount }, FairQueue { settings.maxQueued, settings.maxQueuedPerAccount } }
{
    for (size_t i = 0; i < workClassCount; ++i)
        m_meanSeconds.at(i) = std::chrono::duration<double>(settings.expectedDuration.at(i)).count();
}

Decision EngineAdmission::decide(const RequestView& request, TimePoint now)
{
    if (!m_isOpen) {
        if (request.isRedirectable)
            return Redirect {};
        return Refuse { { ErrorKind::NoEngineAvailable, "the engine is leaving" } };
    }
    auto& queue = m_queues.at(indexOf(request.workClass));
    if (queue.isEmpty() && hasRoom(request.workClass))
        return Admit {};

    // Accounts are served round robin: a request waits for its own account's queue and for as many requests of each
    // other account.
    const size_t ahead = std::min(queue.size(), (queue.sizeOf(request.account) + 1) * std::max<size_t>(queue.activeAccounts(), 1) - 1);
    const auto wait = expectedWait(request.workClass, ahead);
    if (request.isRedirectable && wait > request.redirectThreshold)
        return Redirect {};
    if (now + wait > request.deadline)
        return Refuse { overloaded(wait) };
    auto pushed = queue.push({ request.id, request.account, request.cost, now, request.deadline });
    if (!pushed.isQueued)
        return Refuse { overloaded(wait) };
    if (pushed.displaced)
        m_displaced.push_back({ std::move(*pushed.displaced), overloaded(wait) });
    return Queue { wait };
}

void EngineAdmission::start(const RequestId& id, WorkClass workClass, TimePoint now)
{
    if (!m_running.try_emplace(id, Running { workClass, workClass, now }).second)
        return;
    ++m_runningByClass.at(indexOf(workClass));
    updatePeak(now);
    updateCredits(workClass);
    BORAGESLIP_INVARIANT(running() <= m_settings.bound.limit(m_meanLoad), "I1", "an engine runs more requests than its load bound allows");
}

DequeuedRequests EngineAdmission::finish(const RequestId& id, TimePoint now)
{
    DequeuedRequests result;
    if (const auto found = m_running.find(id); found != m_running.end()) {
        updatePeak(now);
        const auto& request = found->second;
        --m_runningByClass.at(indexOf(request.workClass));
        auto& mean = m_meanSeconds.at(indexOf(request.workClass));
        // A plain mean of the first requests replaces the configured estimate; later, an exponential moving average
        // follows a change within tens of requests.
        auto& samples = m_durationSamples.at(indexOf(request.workClass));
        const double gain = std::max(0.05, 1.0 / static_cast<double>(++samples));
        mean += gain * (std::chrono::duration<double>(now - request.startedAt).count() - mean);
        m_running.erase(found);
    } else {
        for (auto& queue : m_queues) {
            if (queue.remove(id))
                break;
        }
    }
    startQueued(result, now);
    return result;
}

DequeuedRequests EngineAdmission::expire(TimePoint now)
{
    DequeuedRequests result;
    refuseLate(result, now);
    startQueued(result, now);
    return result;
}

void EngineAdmission::markLong(const RequestId& id)
{
    const auto found = m_running.find(id);
    if (found == m_running.end() || found->second.workClass == WorkClass::Long)
        return;
    --m_runningByClass.at(indexOf(found->second.workClass));
    ++m_runningByClass.at(indexOf(WorkClass::Long));
    found->second.workClass = WorkClass::Long;
}

void EngineAdmission::markStragglers(TimePoint now)
{
    for (const auto& [id, request] : m_running) {
        if (now - request.startedAt > m_settings.stragglerThreshold.at(indexOf(request.workClass)))
            markLong(id);
    }
}

void EngineAdmission::setMeanLoad(double mean)
{
    m_meanLoad = mean;
}

void EngineAdmission::setReportedRunning(int reported, TimePoint now, int margin)
{
    updatePeak(now);
    const int runningForOtherHomes = reported - std::max(m_peak, m_previousPeak);
    m_runningForOtherHomes = std::max(0, runningForOtherHomes) + margin;
}

void EngineAdmission::updatePeak(TimePoint now)
{
    const int own = static_cast<int>(m_running.size());
    if (const auto age = now - m_peakSince; age >= m_settings.maxReportAge) {
        m_previousPeak = age < 2 * m_settings.maxReportAge ? m_peak : own;
        m_peak = own;
        m_peakSince = now;
    }
    m_peak = std::max(m_peak, own);
}

size_t EngineAdmission::queued() const
{
    size_t total = 0;
    for (const auto& queue : m_queues)
        total += queue.size();
    return total;
}

int EngineAdmission::capacity() const
{
    return std::min(m_settings.slots, m_settings.bound.limit(m_meanLoad));
}

bool EngineAdmission::hasRoom(WorkClass workClass) const
{
    if (running() >= capacity())
        return false;
    const int runningLong = running(WorkClass::Long);
    if (workClass == WorkClass::Long)
        return runningLong < longMaximum();
    // While Long work is queued, the free slots of its guaranteed share are closed to other work.
    const int reserved = m_queues.at(indexOf(WorkClass::Long)).isEmpty() ? 0 : std::max(0, longReserve() - runningLong);
    return running() + reserved < capacity();
}

int EngineAdmission::longMaximum() const
{
    const int limit = capacity();
    return std::max(1, limit - static_cast<int>(std::ceil(m_settings.reservedShortShare * limit - 1e-9)));
}

int EngineAdmission::longReserve() const
{
    return static_cast<int>(m_settings.guaranteedLongShare * capacity() + 1e-9);
}

std::optional<WorkClass> EngineAdmission::nextClass() const
{
    if (!m_isOpen)
        return std::nullopt;
    const auto isReady = [this](WorkClass workClass) { return !m_queues.at(indexOf(workClass)).isEmpty() && hasRoom(workClass); };
    for (const auto workClass : { WorkClass::Long, WorkClass::Standard }) {
        if (m_credits.at(indexOf(workClass)) >= 1 - 1e-9 && isReady(workClass))
            return workClass;
    }
    for (const auto workClass : allClasses) {
        if (isReady(workClass))
            return workClass;
    }
    return std::nullopt;
}

void EngineAdmission::updateCredits(WorkClass started)
{
    const std::array shares { 0.0, m_settings.guaranteedStandardStartShare, m_settings.guaranteedLongShare };
    for (const auto workClass : allClasses) {
        auto& credit = m_credits.at(indexOf(workClass));
        if (m_queues.at(indexOf(workClass)).isEmpty() && workClass != started)
            credit = 0;
        else
            credit = std::clamp(credit + shares.at(indexOf(workClass)) - (workClass == started ? 1.0 : 0.0), 0.0, 2.0);
    }
}

Duration EngineAdmission::expectedWait(WorkClass workClass, size_t requestsAhead) const
{
    const int servers = std::max(1, workClass == WorkClass::Long ? longMaximum() : capacity());
    const double seconds = m_meanSeconds.at(indexOf(workClass)) * static_cast<double>(requestsAhead + 1) / servers;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void EngineAdmission::refuseLate(DequeuedRequests& result, TimePoint now)
{
    for (const auto workClass : allClasses) {
        auto& queue = m_queues.at(indexOf(workClass));
        // Time of one round of the round robin; the expected wait grows by it with each request of the same account
        // ahead.
        const auto roundTime = expectedWait(workClass, 0) * static_cast<Duration::rep>(std::max<size_t>(queue.activeAccounts(), 1));
        const auto isLate = [&](const QueuedRequest& queued, size_t ahead) { return !m_isOpen || now + roundTime * static_cast<Duration::rep>(ahead) > queued.deadline; };
        for (auto& request : queue.removeIf(isLate)) {
            if (m_isOpen)
                result.refused.push_back({ std::move(request), overloaded(roundTime) });
            else
                result.refused.push_back({ std::move(request), { ErrorKind::NoEngineAvailable, "the engine is leaving" } });
        }
    }
}

void EngineAdmission::startQueued(DequeuedRequests& result, TimePoint now)
{
    std::move(m_displaced.begin(), m_displaced.end(), std::back_inserter(result.refused));
    m_displaced.clear();
    while (const auto workClass = nextClass()) {
        auto request = m_queues.at(indexOf(*workClass)).pop();
        if (!request)
            break;
        if (now > request->deadline) {
            result.refused.push_back({ std::move(*request), overloaded(expectedWait(*workClass, 0)) });
            continue;
        }
        start(request->id, *workClass, now);
        result.started.push_back({ std::move(*request), *workClass });
    }
}

}
