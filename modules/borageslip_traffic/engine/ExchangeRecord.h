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

/** What was known at each decision on one request, for the log line at its end.
    @see Exchange, `borageslip explain` */
class ExchangeRecord {
public:
    ExchangeRecord(std::string requestId, TimePoint arrivedAt)
        : m_requestId(std::move(requestId))
        , m_arrivedAt(arrivedAt)
    {
    }

    /** Notes that the request waited for a place. */
    void recordWait(Duration time) { m_waited += time; }

    /** Notes a send, which counts at the backend server already. */
    void recordSend(const BackendServer&, const TrafficEngine&);

    void log(Severity, std::string_view event, std::string_view outcome, std::string_view detail, const TrafficEngine&, const AdmittedRequest&) const;

private:
    struct Send {
        std::string server;
        int inFlight = 0;
        std::chrono::milliseconds after { 0 }; ///< Since the request arrived.
        std::chrono::milliseconds storeDataAge { 0 }; ///< Since the store confirmed the list and the configuration.
        std::chrono::milliseconds loadAge { 0 }; ///< Mean age of the other instances' reports that the choice used.
        double meanInFlight = 0; ///< Of the service's servers, as far as known.
    };

    std::string m_requestId;
    TimePoint m_arrivedAt;
    Duration m_waited {};
    std::vector<Send> m_sends;
};

}
