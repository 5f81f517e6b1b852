#include "WaitQueue.h"

namespace borageslip {

WaitQueueEntry::WaitQueueEntry(WaitQueue& waitQueue, RequestPriority priority, QueuedRequest request, AutoResetEvent& signal)
    : m_waitQueue(waitQueue)
    , m_id(request.id)
{
    const auto pushed = m_waitQueue.m_queue.push(priority, std::move(request));
    if (pushed.displaced) {
        m_waitQueue.wake(pushed.displaced->id);
        m_waitQueue.m_signals.erase(pushed.displaced->id);
    }
    if (pushed.isQueued)
        m_waitQueue.m_signals.emplace(m_id, &signal);
}

WaitQueueEntry::~WaitQueueEntry()
{
    if (isWaiting()) {
        m_waitQueue.m_queue.remove(m_id);
        m_waitQueue.m_signals.erase(m_id);
    }
    m_waitQueue.wakeFirst();
}

bool WaitQueueEntry::isFirst() const
{
    const auto* first = m_waitQueue.m_queue.front();
    return first != nullptr && first->id == m_id;
}

void WaitQueueEntry::dequeue()
{
    if (isFirst())
        m_waitQueue.m_queue.pop();
    else
        m_waitQueue.m_queue.remove(m_id);
    m_waitQueue.m_signals.erase(m_id);
}

}
