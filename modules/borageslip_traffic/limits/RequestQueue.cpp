#include "RequestQueue.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr int waitDivisor = 2; ///< Of the latency objective.
    constexpr double tokensPerUnit = 1000; ///< A short prompt with its answer.

}

FairQueue& RequestQueue::queueOf(Urgency urgency)
{
    return m_queues.try_emplace(urgency, m_maxRequests, m_maxRequests).first->second;
}

void RequestQueue::forgetEmptyQueues()
{
    std::erase_if(m_queues, [](const auto& entry) { return entry.second.isEmpty(); });
}

std::optional<QueuedRequest> RequestQueue::makeRoom(Urgency urgency, const AccountId& account)
{
    if (m_queues.empty())
        return std::nullopt;
    auto& [least, queue] = *m_queues.rbegin();
    if (least < urgency)
        return std::nullopt;
    if (least == urgency)
        return queue.makeRoomFor(account);
    auto displaced = queue.makeRoomFor({});
    return displaced ? displaced : queue.pop();
}

FairQueue::PushResult RequestQueue::push(Urgency urgency, QueuedRequest request)
{
    std::optional<QueuedRequest> displaced;
    if (m_size >= m_maxRequests) {
        displaced = makeRoom(urgency, request.account);
        if (!displaced)
            return {};
        --m_size;
        forgetEmptyQueues();
    }
    auto result = queueOf(urgency).push(std::move(request));
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
    forgetEmptyQueues();
}

void RequestQueue::remove(const RequestId& id)
{
    removeIf([&](const QueuedRequest& request, size_t) { return request.id == id; });
}

std::vector<QueuedRequest> RequestQueue::removeIf(const FairQueue::Predicate& predicate)
{
    std::vector<QueuedRequest> removed;
    for (auto& [urgency, queue] : m_queues)
        std::ranges::move(queue.removeIf(predicate), std::back_inserter(removed));
    m_size -= removed.size();
    forgetEmptyQueues();
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

}
