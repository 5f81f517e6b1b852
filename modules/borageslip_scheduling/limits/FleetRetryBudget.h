#pragma once

#include <borageslip_core/time/Clock.h>

#include <deque>

namespace borageslip {

/** This instance's share of a retry budget for the whole fleet.

    Within any window, an instance retries at most `ratio` times the number of requests that it received in that window,
    plus an equal share of the reserve. The retries of all instances together thus stay within the budget without
    coordination. Not thread-safe. */
class FleetRetryBudget {
public:
    struct Limits {
        double ratio = 0.1; ///< Retries per request.
        double reserve = 10; ///< Retries that the whole fleet may make in a window in addition to the ratio.
        Duration window = std::chrono::seconds(10);
    };

    explicit FleetRetryBudget(const Limits&);

    /** Sets the number of instances that share the reserve.
        @param instances known instances, including this one; smaller values than minInstances count as minInstances. */
    void setInstanceCount(size_t instances) { m_instances = instances; }
    void recordRequest(TimePoint now);

    /** Takes one retry from the budget.
        @return false when the budget is exhausted. */
    bool tryRetry(TimePoint now);

private:
    void dropExpired(TimePoint now);

    // An instance that has just started knows few peers and must not use their shares of the reserve.
    static constexpr size_t minInstances = 9;

    Limits m_limits;
    size_t m_instances = 0;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

}
