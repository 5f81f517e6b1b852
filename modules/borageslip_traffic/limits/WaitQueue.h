#pragma once

#include "../net/AutoResetEvent.h"
#include <borageslip_scheduling/limits/RequestQueue.h>

#include <unordered_map>

namespace borageslip {

/** Request queue of one service, with a signal per waiting request. Not thread-safe: call it from the event loop that
    owns it. */
class WaitQueue {
public:
    bool isEmpty() const { return m_queue.isEmpty(); }
    size_t size() const { return m_queue.size(); }

    /** Wakes the first request, so that it tries again to get a backend server. */
    void wakeFirst()
    {
        if (const auto* first = m_queue.front())
            wake(first->id);
    }

private:
    friend class WaitQueueEntry;

    void wake(const RequestId& id)
    {
        if (const auto found = m_signals.find(id); found != m_signals.end())
            found->second->notify();
    }

    RequestQueue m_queue { maxWaitingRequests };
    std::unordered_map<RequestId, AutoResetEvent*> m_signals; ///< By request id; only of requests in the queue.
};

/** Scoped entry of one request in a WaitQueue: the destructor removes it and wakes the first request in the queue. */
class WaitQueueEntry {
public:
    /** Queues a request.
        @param request its id must be unique in the queue.
        @param signal notified when the request may be served or has been displaced; must outlive the entry. */
    WaitQueueEntry(WaitQueue&, RequestPriority, QueuedRequest, AutoResetEvent&);
    ~WaitQueueEntry();
    WaitQueueEntry(const WaitQueueEntry&) = delete;
    WaitQueueEntry& operator=(const WaitQueueEntry&) = delete;

    /** False when the queue was full, when the request has been displaced by another one, or after dequeue(). */
    bool isWaiting() const { return m_waitQueue.m_signals.contains(m_id); }
    bool isFirst() const;

    /** Removes the request from the queue because it is about to be served. It need not be the first any more: a more
        urgent request may have arrived in the meantime. */
    void dequeue();

private:
    WaitQueue& m_waitQueue;
    RequestId m_id;
};

}
