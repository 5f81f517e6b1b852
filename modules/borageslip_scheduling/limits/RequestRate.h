#pragma once

#include <borageslip_core/time/Clock.h>

namespace borageslip {

/** Token bucket that keeps requests to a backend server within a rate. It begins empty, so that an instance which takes
    over the coordination of the server adds no burst to that of its predecessor.

    Does no I/O: time is passed in. Not thread-safe. */
class RequestRate {
public:
    /** Which part of a server's rate limit an instance may grant. Instances that disagree about which of them coordinates
        the server thus grant at most one and a half times the limit together, and 5 requests. */
    enum class Share {
        Coordinator,
        Other, ///< Of an instance that takes another one for the coordinator.
    };

    /** Sets the rate. @param perSecond of the server's limit, more than 0. */
    void setRate(double perSecond, Share, TimePoint now);

    /** Whether a request is within the rate. @param required tokens that have to be left before it; at least 1. */
    bool canTake(TimePoint now, double required = 1) const { return tokensAt(now) >= required; }

    /** Counts a request. To be called also for a request that the rate does not allow but that is sent all the same. */
    void take(TimePoint now);

    /** When canTake() becomes true without further calls. */
    TimePoint nextTokenAt(TimePoint now, double required = 1) const;

private:
    double tokensAt(TimePoint now) const;

    double m_perSecond = 0;
    double m_maxTokens = 0;
    double m_tokens = 0;
    TimePoint m_countedAt {};
};

}
