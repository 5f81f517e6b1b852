#include "FairQueue.h"

#include <algorithm>
#include <cmath>

namespace borageslip {

FairQueue::PushResult FairQueue::push(QueuedRequest request)
{
    const size_t own = sizeOf(request.account);
    if (own >= m_maxPerAccount)
        return {};
    PushResult result { true };
    if (m_size >= m_maxRequests) {
        result.displaced = makeRoomFor(request.account);
        if (!result.displaced)
            return {};
    }
    auto found = m_flows.find(request.account);
    if (found == m_flows.end()) {
        m_rotation.push_back({ request.account, {} });
        found = m_flows.emplace(request.account, std::prev(m_rotation.end())).first;
    }
    auto& requests = found->second->requests;
    const auto position = std::upper_bound(requests.begin(), requests.end(), request, [](const QueuedRequest& first, const QueuedRequest& second) { return first.deadline < second.deadline; });
    requests.insert(position, std::move(request));
    ++m_size;
    return result;
}

std::optional<QueuedRequest> FairQueue::makeRoomFor(const AccountId& account)
{
    const auto longest = std::max_element(m_rotation.begin(), m_rotation.end(), [](const Flow& first, const Flow& second) { return first.requests.size() < second.requests.size(); });
    if (longest == m_rotation.end() || longest->requests.size() <= sizeOf(account) + 1)
        return std::nullopt;
    auto displaced = std::move(longest->requests.back());
    longest->requests.pop_back();
    --m_size;
    return displaced;
}

const QueuedRequest* FairQueue::front()
{
    if (m_size == 0)
        return nullptr;
    // If no request was affordable in a whole round, adds at once the quanta of all rounds in which none would be.
    for (size_t visits = 0;; ++visits) {
        if (visits > 0 && visits % m_rotation.size() == 0) {
            double rounds = -1;
            for (const auto& flow : m_rotation) {
                const double needed = std::max(0.0, std::ceil((flow.requests.front().cost - flow.deficit) / m_quantum) - 1);
                rounds = rounds < 0 ? needed : std::min(rounds, needed);
            }
            for (auto& flow : m_rotation)
                flow.deficit += rounds * m_quantum;
        }
        const auto flow = m_rotation.begin();
        if (!flow->isVisited) {
            flow->isVisited = true;
            flow->deficit += m_quantum;
        }
        if (flow->requests.front().cost <= flow->deficit + 1e-9)
            return &flow->requests.front();
        flow->isVisited = false;
        m_rotation.splice(m_rotation.end(), m_rotation, flow);
    }
}

std::optional<QueuedRequest> FairQueue::pop()
{
    if (front() == nullptr)
        return std::nullopt;
    const auto flow = m_rotation.begin();
    auto request = std::move(flow->requests.front());
    flow->deficit -= request.cost;
    flow->requests.pop_front();
    --m_size;
    if (flow->requests.empty())
        eraseFlow(flow);
    return request;
}

bool FairQueue::remove(const RequestId& id)
{
    return !removeIf([&id](const QueuedRequest& request, size_t) { return request.id == id; }).empty();
}

std::vector<QueuedRequest> FairQueue::removeIf(const Predicate& predicate)
{
    std::vector<QueuedRequest> removed;
    for (auto flow = m_rotation.begin(); flow != m_rotation.end();) {
        const auto current = flow++;
        auto& requests = current->requests;
        size_t kept = 0;
        for (size_t i = 0; i < requests.size(); ++i) {
            if (predicate(requests[i], kept)) {
                removed.push_back(std::move(requests[i]));
                continue;
            }
            if (kept != i)
                requests[kept] = std::move(requests[i]);
            ++kept;
        }
        requests.resize(kept);
        if (requests.empty())
            eraseFlow(current);
    }
    m_size -= removed.size();
    return removed;
}

size_t FairQueue::sizeOf(const AccountId& account) const
{
    const auto found = m_flows.find(account);
    return found == m_flows.end() ? 0 : found->second->requests.size();
}

void FairQueue::eraseFlow(Rotation::iterator flow)
{
    m_flows.erase(flow->account);
    m_rotation.erase(flow);
}

}
