#include "WaitingRoom.h"

namespace borageslip {

WaitingPlace::WaitingPlace(WaitingRoom& room, Urgency urgency, QueuedRequest request, AutoResetEvent& signal)
    : m_room(room)
    , m_id(request.id)
{
    const auto pushed = m_room.m_queue.push(urgency, std::move(request));
    if (pushed.displaced) {
        m_room.wake(pushed.displaced->id);
        m_room.m_signals.erase(pushed.displaced->id);
    }
    if (pushed.isQueued)
        m_room.m_signals.emplace(m_id, &signal);
}

WaitingPlace::~WaitingPlace()
{
    if (isKept()) {
        m_room.m_queue.remove(m_id);
        m_room.m_signals.erase(m_id);
    }
    m_room.wakeFirst();
}

bool WaitingPlace::isFirst() const
{
    const auto* first = m_room.m_queue.front();
    return first != nullptr && first->id == m_id;
}

void WaitingPlace::take()
{
    if (isFirst())
        m_room.m_queue.pop();
    else
        m_room.m_queue.remove(m_id);
    m_room.m_signals.erase(m_id);
}

}
