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

    /** Whether the reserve is kept from requests of this urgency now. */
    bool isKeptFrom(Urgency, TimePoint now) const;

    /** Places of a backend server outside its reserve. @param slots all of its places; 0: no limit. */
    static int openSlots(int slots);

    /** Places of a backend server that a request of this urgency may use. */
    int slotsFor(Urgency urgency, int slots, TimePoint now) const { return isKeptFrom(urgency, now) ? openSlots(slots) : slots; }

private:
    std::map<Urgency, TimePoint> m_lastArrivals;
};

}
