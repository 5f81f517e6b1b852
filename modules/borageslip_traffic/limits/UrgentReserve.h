#pragma once

#include "RequestQueue.h"

#include <borageslip_core/time/Clock.h>

#include <map>

namespace borageslip {

/** Keeps some places of each backend server for the most urgent work of a service.

    A place that becomes free is taken at once by whichever instance learns of it first, and by that instance's waiting
    requests, however little urgent; urgent requests that come to another instance would wait for a place of its own. The
    reserve holds only while urgent work comes. Pure and not thread-safe. */
class UrgentReserve {
public:
    /** Records that a request has come. */
    void recordArrival(Urgency, TimePoint now);

    /** Places of a backend server that a request of this urgency may use. @param slots all of its places; 0: no limit. */
    int slotsFor(Urgency, int slots, TimePoint now) const;

private:
    std::map<Urgency, TimePoint> m_lastArrivals;
};

}
