#pragma once

#include <borageslip_routing/limits/FairQueue.h>

#include <map>

namespace borageslip {

constexpr size_t maxWaitingRequests = 256; ///< Of one service at one instance.
constexpr Duration queueCheckInterval = std::chrono::milliseconds(20); ///< Loads of other instances change without a notification.

/** Rank of a request among those that wait: the client account's priority goes before the route's; 0 is the most urgent. */
struct RequestPriority {
    int account = 0;
    int route = 0;

    // clang-tidy 14 takes the zero in rewritten comparisons for a null pointer.
    auto operator<=>(const RequestPriority&) const = default; // NOLINT(modernize-use-nullptr)
};

/** The requests that wait for places of one service: by urgency, then fair among client accounts, then by the time left.

    It answers a surge of one account: its own requests wait longer or are displaced, those of the others are served as
    if it had not come. Pure and not thread-safe. */
class RequestQueue {
public:
    explicit RequestQueue(size_t maxRequests)
        : m_maxRequests(maxRequests)
    {
    }

    /** Adds a request whose id no other one in the queue has. When the queue is full, a less urgent request makes room,
        or the last one of the account with the longest backlog of the same urgency. */
    FairQueue::PushResult push(RequestPriority, QueuedRequest);

    /** The request whose turn it is, or null. */
    const QueuedRequest* front();

    /** Removes the request whose turn it is and charges its account. */
    void pop();

    /** Removes a request without charging its account. */
    void remove(const RequestId&);

    /** Removes and returns the requests for which the predicate holds. */
    std::vector<QueuedRequest> removeIf(const FairQueue::Predicate&);

    bool isEmpty() const { return m_size == 0; }
    size_t size() const { return m_size; }

private:
    std::optional<QueuedRequest> displaceFor(RequestPriority, const AccountId&);
    FairQueue& queueFor(RequestPriority);
    void removeEmptyQueues();

    size_t m_maxRequests;
    size_t m_size = 0;
    std::map<RequestPriority, FairQueue> m_queues; ///< Without empty ones.
};

/** Share of an engine that a request takes, in units of a short request. */
double requestCost(int64_t promptTokens, int64_t outputTokens);

/** When a request that waits for a place is told to come back. A caller that waits beyond half of its latency objective
    is served too late, and so is one whose time does not suffice for the usual service.
    @param serviceTime usual time from the send to the end of the answer; zero when not known. */
TimePoint latestStart(TimePoint arrivedAt, TimePoint deadline, Duration latencyObjective, Duration serviceTime);

}
