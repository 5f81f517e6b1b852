#pragma once

#include <borageslip_core/time/Clock.h>

#include <span>
#include <vector>

namespace borageslip {

/** What a backend server states of how long work takes on it, smoothed over its responses at all instances.

    Bounded, so that an absurd figure neither empties nor floods a server. Time is passed in. Not thread-safe. */
class ServerSlowness {
public:
    static constexpr double usual = 1;
    static constexpr double least = 0.5;
    static constexpr double most = 4;

    /** Statement of one response. */
    struct Statement {
        int percent = 0; ///< Time that work takes, 100 as usual; 0 for no statement.
        TimePoint observedAt {};
    };

    /** Records the statement of a response to this instance, which it then shares with the others.
        @return whether the figure is used: it is positive. */
    bool recordOwn(const Statement&);

    /** Records the statement of a response to another instance. Ignored when a later one is known. */
    void recordShared(const Statement&);

    /** The last statement that this instance received in a response. */
    const Statement& lastOwn() const { return m_lastOwn; }

    /** Whether the server has made a statement recently. */
    bool isKnown(TimePoint now) const;

    /** Time that work takes, as a multiple of the usual time; `usual` if the server has made no statement recently. */
    double factor(TimePoint now) const { return isKnown(now) ? m_factor : usual; }

private:
    void smooth(const Statement&);

    Statement m_lastOwn;
    double m_factor = usual;
    TimePoint m_observedAt {}; ///< Of the latest statement.
};

/** Shares of the work that the servers of a service should hold, in proportion to their speeds: 1 for a server of mean
    speed, and exactly 1 for all if they are equally fast.
    @param factors times that work takes on the servers, as multiples of the usual time; positive. */
std::vector<double> capacityShares(std::span<const double> factors);

/** Limit of a server on the requests in flight or a similar quantity that grows with the mean load of its service.

    A slow server is held to its share of the limit. A fast one is held to the limit of a server of mean speed, so that
    the load cap, which callers rely on, is kept whatever the servers state.
    @param share see capacityShares. */
double loadLimit(double share, double factor, double mean, double margin);

}
