#pragma once

#include <borageslip_routing/limits/FairQueue.h>

#include <map>

namespace borageslip {

constexpr size_t maxWaitingRequests = 256; ///< Per service and instance.
constexpr Duration queueCheckInterval = std::chrono::milliseconds(20); ///< Polling is needed because capacity freed by other instances causes no notification.

/** Priority of a waiting request: compared by client account first, then by route. Lower values are more urgent; 0 is
    the most urgent. */
struct RequestPriority {
    int account = 0;
    int route = 0;

    // clang-tidy 14 mistakes the zero in rewritten comparisons for a null pointer.
    auto operator<=>(const RequestPriority&) const = default; // NOLINT(modernize-use-nullptr)
};

/** Bounded queue of the requests that wait for a backend server of one service. Ordered by priority, then by fair
    queueing among client accounts, then by deadline.

    Isolates client accounts from each other's load surges: requests of the surging account wait longer or are
    displaced, those of other accounts are served as before. Does no I/O and reads no clock. Not thread-safe. */
class RequestQueue {
public:
    explicit RequestQueue(size_t maxRequests)
        : m_maxRequests(maxRequests)
    {
    }

    /** Adds a request; its id must be unique in the queue. When the queue is full, displaces a request of lower
        priority or, within the same priority, the last request of the client account with the longest backlog. */
    FairQueue::PushResult push(RequestPriority, QueuedRequest);

    /** The next request to be served, or null when the queue is empty. */
    const QueuedRequest* front();

    /** Removes the next request and charges its cost to its client account. */
    void pop();

    /** Removes a request without charging its client account. */
    void remove(const RequestId&);

    /** Removes and returns the requests for which the predicate holds. */
    std::vector<QueuedRequest> removeIf(const FairQueue::Predicate&);

    bool isEmpty() const { return m_size == 0; }
    size_t size() const { return m_size; }

private:
    /** Removes and returns a request to make room for one of this priority and client account; nothing when none may be
        displaced. */
    std::optional<QueuedRequest> displaceFor(RequestPriority, const AccountId&);
    FairQueue& queueFor(RequestPriority);
    void removeEmptyQueues();

    size_t m_maxRequests;
    size_t m_size = 0;
    std::map<RequestPriority, FairQueue> m_queues; ///< Most urgent first; no queue is empty.
};

/** Cost of a request in fair queueing, in units of a short request (1000 tokens of prompt and answer); at least 1. */
double requestCost(int64_t promptTokens, int64_t outputTokens);

/** Latest time at which a waiting request may still be sent; after it, the request is rejected with a retry delay. A
    request that waits for more than half of its latency objective would be served too late, as would one whose
    remaining time is shorter than the typical service time.
    @param serviceTime typical time from the send to the end of the answer; zero when not known. */
TimePoint latestStart(TimePoint arrivedAt, TimePoint deadline, Duration latencyObjective, Duration serviceTime);

}
