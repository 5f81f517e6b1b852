#include "RequestQueue.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr int waitDivisor = 2; ///< A request waits for at most this fraction of its latency objective.
    constexpr int serviceTimeMargin = 2; ///< Many requests take up to twice the mean service time.
    constexpr double tokensPerUnit = 1000; ///< Tokens of a short prompt and its answer, which cost one unit.

}

FairQueue& RequestQueue::queueFor(RequestPriority priority)
{
    return m_queues.try_emplace(priority, m_maxRequests, m_maxRequests).first->second;
}

void RequestQueue::removeEmptyQueues()
{
    std::erase_if(m_queues, [](const auto& entry) { return entry.second.isEmpty(); });
}

std::optional<QueuedRequest> RequestQueue::displaceFor(RequestPriority priority, const AccountId& account)
{
    if (m_queues.empty())
        return std::nullopt;
    auto& [lowest, queue] = *m_queues.rbegin();
    if (lowest < priority)
        return std::nullopt;
    if (lowest == priority)
        return queue.makeRoomFor(account);
    auto displaced = queue.makeRoomFor({});
    return displaced ? displaced : queue.pop();
}

FairQueue::PushResult RequestQueue::push(RequestPriority priority, QueuedRequest request)
{
    std::optional<QueuedRequest> displaced;
    if (m_size >= m_maxRequests) {
        displaced = displaceFor(priority, request.account);
        if (!displaced)
            return {};
        --m_size;
        removeEmptyQueues();
    }
    auto result = queueFor(priority).push(std::move(request));
    if (result.isQueued)
        ++m_size;
    result.displaced = std::move(displaced);
    return result;
}

const QueuedRequest* RequestQueue::front()
{
    return m_queues.empty() ? nullptr : m_queues.begin()->second.front();
}

void RequestQueue::pop()
{
    if (m_queues.empty())
        return;
    m_queues.begin()->second.pop();
    --m_size;
    removeEmptyQueues();
}

void RequestQueue::remove(const RequestId& id)
{
    removeIf([&](const QueuedRequest& request, size_t) { return request.id == id; });
}

std::vector<QueuedRequest> RequestQueue::removeIf(const FairQueue::Predicate& predicate)
{
    std::vector<QueuedRequest> removed;
    for (auto& [priority, queue] : m_queues)
        std::ranges::move(queue.removeIf(predicate), std::back_inserter(removed));
    m_size -= removed.size();
    removeEmptyQueues();
    return removed;
}

double requestCost(int64_t promptTokens, int64_t outputTokens)
{
    return std::max(1.0, static_cast<double>(promptTokens + outputTokens) / tokensPerUnit);
}

TimePoint latestStart(TimePoint arrivedAt, TimePoint deadline, Duration latencyObjective, Duration serviceTime)
{
    return std::min(deadline - serviceTime, arrivedAt + latencyObjective / waitDivisor);
}

StartLimits startLimits(TimePoint arrivedAt, TimePoint deadline, Duration latencyObjective, Duration serviceTime, ResponseShape shape)
{
    const auto halfTime = arrivedAt + (deadline - arrivedAt) / 2;
    const auto longest = shape == ResponseShape::Stream ? std::min(halfTime, arrivedAt + 2 * latencyObjective) : halfTime;
    const auto startUntil = std::min(deadline - serviceTime, longest);
    return { std::min(startUntil, arrivedAt + std::max(latencyObjective / waitDivisor, latencyObjective - serviceTimeMargin * serviceTime)), startUntil };
}

}
