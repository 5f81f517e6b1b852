#pragma once

#include "../net/Signal.h"

#include <borageslip_core/time/Clock.h>

#include <cstdint>
#include <set>
#include <tuple>

namespace borageslip {

/** A request that waits for a place at a backend server. */
struct WaitingRequest {
    int accountPriority = 0;
    int routePriority = 0;
    TimePoint deadline {};
    uint64_t order = 0; ///< Of arrival, unique.
    Signal* signal = nullptr;

    auto rank() const { return std::tuple(accountPriority, routePriority, deadline, order); }
};

/** The requests that wait for places of one service, most urgent first: by the client account's priority, the route's
    priority, then the time left. Not thread-safe. */
class RequestQueue {
public:
    void add(const WaitingRequest& request) { m_requests.insert(request); }
    void remove(const WaitingRequest& request) { m_requests.erase(request); }
    bool isFirst(const WaitingRequest& request) const { return !m_requests.empty() && m_requests.begin()->order == request.order; }
    bool isEmpty() const { return m_requests.empty(); }
    size_t size() const { return m_requests.size(); }

    /** Lets the first request look for a place. */
    void wakeFirst() const
    {
        if (!m_requests.empty())
            m_requests.begin()->signal->notify();
    }

private:
    struct ByRank {
        bool operator()(const WaitingRequest& first, const WaitingRequest& second) const { return first.rank() < second.rank(); }
    };
    std::set<WaitingRequest, ByRank> m_requests;
};

}
