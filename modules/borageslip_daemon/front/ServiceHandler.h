#pragma once

#include "../entry/AccountLimits.h"
#include "../metrics/ObjectiveMeter.h"
#include "CallContext.h"

#include <borageslip_inner/borageslip_inner.h>
#include <borageslip_request/borageslip_request.h>
#include <mutex>
#include <random>

namespace borageslip {

/** Serves `/services/<name>/...`: forwards calls to plain services. Calls that must not be repeated are sent at most once.
    Thread-safe.
    @see AtMostOnceExecutor, ServiceClient */
class ServiceHandler {
public:
    /** Objects that the handler uses; they must outlive it. */
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

    /** Serves a call that another daemon forwarded because this incarnation has to execute it. Blocks until the outcome is sent. */
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

/** Returns the name of one process of a member. It must differ after a restart, or an old ticket could run again. */
std::string incarnationOf(const MemberId&, uint64_t startIncarnation);

/** Returns the member that currently runs this incarnation, or null. */
const Member* memberOfIncarnation(const FleetView&, std::string_view incarnation);

/** Returns the members to which an incarnation transfers its outcomes at a planned stop, in order of preference. */
std::vector<const Member*> successorsOf(const FleetView&, std::string_view incarnation);

}
