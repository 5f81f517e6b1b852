#pragma once

#include "../net/AutoResetEvent.h"
#include "RequestQueue.h"

#include <unordered_map>

namespace borageslip {

/** The queue of one service with the signals that wake its requests. Call it from the event loop that owns it. */
class WaitingRoom {
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
    friend class WaitingPlace;

    void wake(const RequestId& id)
    {
        if (const auto found = m_signals.find(id); found != m_signals.end())
            found->second->notify();
    }

    RequestQueue m_queue { maxWaitingRequests };
    std::unordered_map<RequestId, AutoResetEvent*> m_signals; ///< Of the requests in the queue.
};

/** Keeps one request in a queue for as long as it lives. */
class WaitingPlace {
public:
    /** @param request its id must be unique in the queue.
        @param signal notified when the request's turn has come or when it has been displaced. */
    WaitingPlace(WaitingRoom&, Urgency, QueuedRequest, AutoResetEvent&);
    ~WaitingPlace();
    WaitingPlace(const WaitingPlace&) = delete;
    WaitingPlace& operator=(const WaitingPlace&) = delete;

    /** False when there was no room, or when another request has taken its room. */
    bool isKept() const { return m_room.m_signals.contains(m_id); }
    bool isFirst() const;

    /** Ends the wait of the request, because it has a place. Another one may have gone ahead meanwhile. */
    void take();

private:
    WaitingRoom& m_room;
    RequestId m_id;
};

}
