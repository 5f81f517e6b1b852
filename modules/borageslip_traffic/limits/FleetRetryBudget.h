#pragma once

#include <borageslip_core/time/Clock.h>

#include <deque>

namespace borageslip {

/** This instance's part of a budget of repeated sends that all instances share.

    In any span of the window, an instance repeats at most `ratio` times the requests that it took in that span, plus
    an even part of the reserve. The sum over the instances then stays within the budget without messages.
    Not thread-safe. */
class FleetRetryBudget {
public:
    struct Limits {
        double ratio = 0.1;
        double reserve = 10; ///< Repeats of the whole fleet in a window beyond the ratio.
        Duration window = std::chrono::seconds(10);
    };

    explicit FleetRetryBudget(const Limits&);

    /** @param instances known instances, this one included; fewer than assumedInstances are not believed. */
    void setInstanceCount(size_t instances) { m_instances = instances; }
    void recordRequest(TimePoint now);

    /** Takes one repeat; false when none is left. */
    bool tryRetry(TimePoint now);

private:
    void dropExpired(TimePoint now);

    // An instance that has just started knows few peers; it must not take their part of the reserve.
    static constexpr size_t minInstances = 9;

    Limits m_limits;
    size_t m_instances = 0;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

}
