#pragma once

#include "TrafficEngine.h"

#include <borageslip_core/logging/Log.h>

#include <string>
#include <vector>

namespace borageslip {

inline std::chrono::milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/** Collects the state on which each routing decision for one request was based, for the log line at its end.
    @see Exchange, `borageslip explain` */
class ExchangeRecord {
public:
    ExchangeRecord(std::string requestId, TimePoint arrivedAt)
        : m_requestId(std::move(requestId))
        , m_arrivedAt(arrivedAt)
    {
    }

    /** Adds time that the request waited for a reservation. */
    void recordWait(Duration time) { m_waited += time; }

    /** Records the instance that granted or rejected a slot; empty if none answered. */
    void recordCoordinator(std::string name) { m_coordinator = std::move(name); }

    /** Why a server was chosen, and what it is expected to prefill. */
    struct Placement {
        ChoiceReason reason = ChoiceReason::LeastLoaded;
        uint64_t prefix = 0; ///< Hash of the prompt parts shared with other requests; 0 for none.
        int64_t uncachedTokens = 0; ///< Prompt tokens.
    };

    /** Records an attempt. The request must already count in the in-flight number of the server. */
    void recordSend(const BackendServer&, const TrafficEngine&, const Placement&);

    void log(Severity, std::string_view event, std::string_view outcome, std::string_view detail, const TrafficEngine&, const AdmittedRequest&) const;

private:
    struct Send {
        std::string server;
        int inFlight = 0;
        std::chrono::milliseconds after { 0 }; ///< Time since the request arrived.
        std::chrono::milliseconds storeDataAge { 0 }; ///< Time since the store confirmed the server list and the configuration.
        std::chrono::milliseconds loadAge { 0 }; ///< Mean age of the load reports of other instances on which the choice was based.
        Placement placement;
        double meanInFlight = 0; ///< Mean number of requests per server of the service, as known to this instance.
    };

    std::string m_requestId;
    TimePoint m_arrivedAt;
    Duration m_waited {};
    std::string m_coordinator {};
    std::vector<Send> m_sends;
};

}
