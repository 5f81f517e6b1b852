#pragma once

#include "../entry/AccountLimits.h"
#include "../metrics/ObjectiveMeter.h"
#include "CallContext.h"

#include <borageslip_inner/borageslip_inner.h>
#include <borageslip_request/borageslip_request.h>
#include <mutex>
#include <random>

namespace borageslip {

/** Serves `/services/<name>/...`: passes calls through to plain services, those that may not be repeated at most once.
    Thread-safe.
    @see AtMostOnceExecutor, ServiceClient */
class ServiceHandler {
public:
    struct Dependencies {
        const Clock& clock;
        const CallGate& gate;
        const FleetViewHolder& fleet;
        AtMostOnceExecutor& executor;
        InnerClient& innerClient;
        ServiceClient& client;
        AccountLimits& limits;
        Metrics& metrics;
        ObjectiveTracker& objectives;
    };

    ServiceHandler(const Dependencies&, std::chrono::milliseconds requestDeadline);

    void registerRoutes(httplib::Server&);

    /** Serves a call that another daemon passed on because this incarnation has to execute it. Blocks. */
    void runForwarded(const InnerRequest&, InnerResponder&);

private:
    class Runner;

    struct Call {
        ServiceId service;
        AccountId account;
        std::string idempotencyKey;
        ServiceRequest request;
        TimePoint deadline {};
    };

    void handle(const httplib::Request&, httplib::Response&);
    void recordObjectives(const CallContext&, const httplib::Request&, const Result<RecordedOutcome>&) const;
    Result<RecordedOutcome> perform(const ServiceSettings&, const Call&);
    Result<RecordedOutcome> performOnce(const ServiceSettings&, const Call&, AtMostOnceCall::Origin);
    Result<RecordedOutcome> send(const ServiceSettings&, const Call&, ServiceRequest::RetryPolicy);
    Result<RecordedOutcome> forward(std::string_view incarnation, const Call&);
    std::vector<std::string> shuffledAddresses(const ServiceSettings&);

    const Dependencies m_dependencies;
    const std::chrono::milliseconds m_requestDeadline;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
};

/** Name of a process of a member: the same after a restart would let an old ticket run again. */
std::string incarnationOf(const MemberId&, uint64_t startIncarnation);

/** Returns the live member that runs this incarnation, or null. */
const Member* memberOfIncarnation(const FleetView&, std::string_view incarnation);

/** Returns the members to which an incarnation hands its outcomes at a planned stop, best first. */
std::vector<const Member*> successorsOf(const FleetView&, std::string_view incarnation);

}
