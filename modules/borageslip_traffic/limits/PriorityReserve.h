#pragma once

#include "RequestQueue.h"

#include <borageslip_core/time/Clock.h>

#include <map>

namespace borageslip {

/** Keeps some places of each backend server for the most urgent work of a service.

    A place that becomes free is taken at once by whichever instance learns of it first, and by that instance's waiting
    requests, however little urgent; urgent requests that come to another instance would wait for a place of its own. The
    reserve holds only while urgent work comes. Pure and not thread-safe. */
class PriorityReserve {
public:
    /** Records that a request has come. */
    void recordArrival(RequestPriority, TimePoint now);

    /** Whether the reserve is kept from requests of this urgency now. */
    bool appliesTo(RequestPriority, TimePoint now) const;

    /** Places of a backend server outside its reserve. @param slots all of its places; 0: no limit. */
    static int unreservedSlots(int slots);

    /** Places of a backend server that a request of this urgency may use. */
    int slotsFor(RequestPriority priority, int slots, TimePoint now) const { return appliesTo(priority, now) ? unreservedSlots(slots) : slots; }

private:
    std::map<RequestPriority, TimePoint> m_lastArrivals;
};

}
