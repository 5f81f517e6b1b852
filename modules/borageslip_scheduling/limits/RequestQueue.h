#pragma once

#include "RequestPriority.h"

#include <borageslip_routing/limits/FairQueue.h>

#include <map>

namespace borageslip {

constexpr size_t maxWaitingRequests = 256; ///< Per service and instance.
constexpr Duration queueCheckInterval = std::chrono::milliseconds(20); ///< Polling is needed because capacity freed by other instances causes no notification.

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

/** How a response arrives. */
enum class ResponseShape {
    Whole,
    Stream, ///< As events; the latency objective is measured up to the first one.
};

/** Times up to which it is useful to start a request that waits for a slot. */
struct StartLimits {
    TimePoint onTimeUntil {}; ///< A later start misses the latency objective.
    TimePoint startUntil {}; ///< Last useful start.
};

/** Start limits of a request that waits in the queue of its service. A late response is still useful to its caller, but
    a request that has waited for half of its time limit is rejected, so that its caller has time to return. The caller
    of a stream leaves earlier, when the first event is missing for several times the objective.
    @param serviceTime typical time from the send to the end of the answer; zero when not known. */
StartLimits startLimits(TimePoint arrivedAt, TimePoint deadline, Duration latencyObjective, Duration serviceTime, ResponseShape);

}
