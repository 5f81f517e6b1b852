#pragma once

#include "../net/AutoResetEvent.h"
#include "ServerTable.h"
#include <borageslip_scheduling/servers/Evacuations.h>

#include <borageslip_core/errors/Result.h>

#include <functional>
#include <optional>
#include <set>

namespace borageslip {

/** Keeps new requests away from the servers of evacuated failure domains.

    Marks the servers, closes their idle connections, and notifies the waiting requests of each change. Disabled when no
    domains are given. Not thread-safe: call it from the event loop that owns the ServerTable.
    @see Evacuations */
class EvacuationControl {
public:
    /** How the removal of an evacuation was learned. */
    enum class Removal {
        Confirmed,
        AfterOutage, ///< The entry was missing when the store returned from an outage, and may be written again.
    };

    /** @param domains the failure domains that exist; absent if evacuation is disabled.
        @param coldStartOf for how long the servers of a service are cold after a start. */
    EvacuationControl(const Clock&, ServerTable&, std::optional<Evacuations::DomainSet> domains, std::function<Duration(std::string_view service)> coldStartOf);
    ~EvacuationControl();
    EvacuationControl(const EvacuationControl&) = delete;
    EvacuationControl& operator=(const EvacuationControl&) = delete;

    bool isEnabled() const { return m_evacuations.has_value(); }

    /** Sets what is called after each change, once the servers have been marked. */
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

    /** Errors: InvalidMessage for a name that is empty, contains a slash, or is no failure domain. */
    Status begin(std::string_view domain);

    /** @param knowledgeAge time since the store last confirmed what this instance knew before the removal. If it is long, the
                           store may have had an outage that was not noticed as such. */
    void end(std::string_view domain, Removal, Duration knowledgeAge);

    /** Lets the times for which missing keys are kept begin again, because operators could not write them until now. */
    void restartGracePeriods();

    /** Ends evacuations whose key did not return after an outage. Should be called about once a second. */
    void maintain();

    /** Whether the service has servers, but none in service because of evacuations. */
    bool leavesNoServer(std::string_view service) const;

    /** Whether evacuated servers of the service count in the mean that the load cap follows. The cap is a multiple of the mean
        over all servers of a service; evacuated ones are left out when they are most of them, since the cap would then keep
        requests from servers with free slots. */
    bool countsInMean(std::string_view service) const;

    size_t activeCount() const { return m_evacuations ? m_evacuations->active().size() : 0; }

    /** Notifies an event of each change, for as long as this object exists. */
    class Waiter {
    public:
        Waiter(EvacuationControl&, AutoResetEvent&);
        ~Waiter();
        Waiter(const Waiter&) = delete;
        Waiter& operator=(const Waiter&) = delete;

    private:
        EvacuationControl& m_control;
        AutoResetEvent& m_event;
    };

private:
    void applyChange(std::string_view event, std::string_view domain);

    const Clock& m_clock;
    ServerTable& m_servers;
    std::optional<Evacuations> m_evacuations;
    std::function<Duration(std::string_view service)> m_coldStartOf;
    std::function<void()> m_changeHandler;
    std::multiset<AutoResetEvent*> m_waiters;
};

}
