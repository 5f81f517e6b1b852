#include "ReservationWaitList.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr size_t slotsPerWaiting = 3; ///< One request may wait for this many slots.

    size_t maxWaiting(uint32_t slots)
    {
        return std::max<size_t>(1, slots / slotsPerWaiting);
    }

}

bool ReservationWaitList::hasRoom(const ReservationMessage& message) const
{
    const auto found = m_waiting.find(message.usage.server);
    const size_t waiting = found == m_waiting.end() ? 0 : found->second.size();
    return message.waitWithin > std::chrono::milliseconds(0) && waiting < maxWaiting(message.limits.slots);
}

bool ReservationWaitList::hasBefore(uint64_t server, RequestPriority priority) const
{
    const auto* waiting = first(server);
    return waiting != nullptr && waiting->message.priority <= priority;
}

void ReservationWaitList::add(WaitingReservation waiting)
{
    const Order order { waiting.message.priority, ++m_arrivals };
    m_waiting[waiting.message.usage.server].emplace(order, std::move(waiting));
}

const WaitingReservation* ReservationWaitList::first(uint64_t server) const
{
    const auto found = m_waiting.find(server);
    return found == m_waiting.end() ? nullptr : &found->second.begin()->second;
}

WaitingReservation ReservationWaitList::takeFirst(uint64_t server)
{
    const auto found = m_waiting.find(server);
    auto taken = std::move(found->second.extract(found->second.begin()).mapped());
    if (found->second.empty())
        m_waiting.erase(found);
    return taken;
}

std::vector<WaitingReservation> ReservationWaitList::takeExpired(TimePoint now)
{
    std::vector<WaitingReservation> expired;
    for (auto list = m_waiting.begin(); list != m_waiting.end();) {
        for (auto entry = list->second.begin(); entry != list->second.end();) {
            if (entry->second.waitsUntil > now) {
                ++entry;
                continue;
            }
            expired.push_back(std::move(entry->second));
            entry = list->second.erase(entry);
        }
        list = list->second.empty() ? m_waiting.erase(list) : std::next(list);
    }
    return expired;
}

ServerUsage ReservationWaitList::usage(uint64_t server) const
{
    ServerUsage total { server, 0, 0 };
    const auto found = m_waiting.find(server);
    if (found == m_waiting.end())
        return total;
    for (const auto& [order, waiting] : found->second) {
        ++total.inFlight;
        total.pendingPrefill += waiting.message.promptTokens;
    }
    return total;
}

std::optional<TimePoint> ReservationWaitList::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto& [server, list] : m_waiting) {
        for (const auto& [order, waiting] : list)
            next = next ? std::min(*next, waiting.waitsUntil) : waiting.waitsUntil;
    }
    return next;
}

std::vector<uint64_t> ReservationWaitList::servers() const
{
    std::vector<uint64_t> hashes;
    hashes.reserve(m_waiting.size());
    for (const auto& [server, list] : m_waiting)
        hashes.push_back(server);
    return hashes;
}

size_t ReservationWaitList::size() const
{
    size_t count = 0;
    for (const auto& [server, list] : m_waiting)
        count += list.size();
    return count;
}

}
