#pragma once

#include "../model/CallerRequest.h"

#include <random>
#include <vector>

namespace borageslip {

/** Draws the requests of a load pattern and the times at which neighbours slow its engines, from a random number
    generator that the experiment owns. */
class ArrivalPlanner {
public:
    ArrivalPlanner(const LoadPattern& pattern, std::mt19937_64& random)
        : m_pattern(pattern)
        , m_random(random)
    {
    }

    struct Arrival {
        CallerRequest request;
        std::vector<Duration> leavesAt; ///< When its caller gives up, and its deadline.
    };

    /** All requests; the id of a request is its position. */
    std::vector<Arrival> planArrivals();

    /** When a neighbour begins to slow one engine. */
    std::vector<Duration> planSlowdowns();

    /** The instance that a caller calls. */
    size_t drawInstance();

private:
    void planArrivals(const PatternClass&, size_t index);
    double rateFactor(const PatternClass&, Duration) const;
    Arrival drawRequest(const PatternClass&, size_t index, Duration at);
    double draw() { return std::uniform_real_distribution<>(0, 1)(m_random); }

    const LoadPattern& m_pattern;
    std::mt19937_64& m_random;
    std::vector<Arrival> m_arrivals;
};

}
