#pragma once

#include "RequestQueue.h"

#include <borageslip_core/time/Clock.h>

#include <map>

namespace borageslip {

/** Reserves some slots of each backend server for the most urgent requests of a service.

    Without a reserve, a freed slot is taken at once by the first instance that learns of it, even for a request of low
    priority, while urgent requests wait at other instances. The reserve is in force only while urgent requests arrive.
    Does no I/O: time is passed in. Not thread-safe. */
class PriorityReserve {
public:
    /** Records the arrival of a request of this priority. */
    void recordArrival(RequestPriority, TimePoint now);

    /** Whether requests of this priority must leave the reserve free, because more urgent ones arrived recently. */
    bool appliesTo(RequestPriority, TimePoint now) const;

    /** Slots of a backend server outside its reserve. @param slots all slots of the server; 0 for unlimited. */
    static int unreservedSlots(int slots);

    /** Slots of a backend server that a request of this priority may use. @param slots all slots of the server; 0 for
        unlimited. */
    int slotsFor(RequestPriority priority, int slots, TimePoint now) const { return appliesTo(priority, now) ? unreservedSlots(slots) : slots; }

private:
    std::map<RequestPriority, TimePoint> m_lastArrivals;
};

}
