#pragma once

namespace borageslip {

/** Load bound I1 of one engine: a multiple of the mean load of the engines that serve the same model in the same
    region, with a lower limit so that an idle fleet can start work. */
class LoadBound {
public:
    explicit LoadBound(double multiple = 1.25, int floor = 1)
        : m_multiple(multiple)
        , m_floor(floor)
    {
    }

    /** Returns the largest number of requests that an engine may run: max(floor, ceil(multiple x mean)). */
    int limit(double meanLoad) const;

private:
    double m_multiple;
    int m_floor;
};

}
