#pragma once

#include "../net/Signal.h"
#include "RequestQueue.h"

#include <unordered_map>

namespace borageslip {

/** The queue of one service with the signals that wake its requests. Call it from the event loop that owns it. */
class WaitQueue {
public:
    bool isEmpty() const { return m_queue.isEmpty(); }
    size_t size() const { return m_queue.size(); }

    /** Lets the request whose turn it is look for a place. */
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
    std::unordered_map<RequestId, Signal*> m_signals; ///< Of the requests in the queue.
};

/** Keeps one request in a queue for as long as it lives. */
class WaitQueueEntry {
public:
    /** @param request its id must be unique in the queue.
        @param signal notified when the request's turn has come or when it has been displaced. */
    WaitQueueEntry(WaitQueue&, RequestPriority, QueuedRequest, Signal&);
    ~WaitQueueEntry();
    WaitQueueEntry(const WaitQueueEntry&) = delete;
    WaitQueueEntry& operator=(const WaitQueueEntry&) = delete;

    /** False when there was no room, or when another request has taken its room. */
    bool isWaiting() const { return m_waitQueue.m_signals.contains(m_id); }
    bool isFirst() const;

    /** Ends the wait of the request, because it has a place. Another one may have gone ahead meanwhile. */
    void dequeue();

private:
    WaitQueue& m_waitQueue;
    RequestId m_id;
};

}
