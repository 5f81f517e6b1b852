#pragma once

#include "../entry/FleetView.h"
#include "../metrics/Metrics.h"

#include <borageslip_core/borageslip_core.h>
#include <httplib.h>
#include <memory>

namespace borageslip {

/** Whether the daemon takes calls now; read by the handlers for each call. */
class CallGate {
public:
    virtual ~CallGate() = default;

    /** Returns nothing while calls are taken, else the refusal. */
    virtual std::optional<Error> refusal() const = 0;
};

/** What every caller-facing handler first finds out about a call. */
struct CallContext {
    RequestId request;
    std::shared_ptr<const FleetView> fleet;
    AccountId account;
    const AccountSettings* accountSettings = nullptr; ///< Owned by the fleet view.
    TimePoint receivedAt {};
};

/** Identifies and authenticates a call.
    Errors: Draining, NoConfiguration, Unauthenticated. The request id is set also on failure. */
std::optional<Error> openCall(const httplib::Request&, const CallGate&, const FleetViewHolder&, const Clock&, CallContext&);

/** Returns the bearer key of the request, or an empty text. */
std::string_view bearerKey(const httplib::Request&);

/** Counts a call as in progress for as long as it exists. */
class CallInProgress {
public:
    explicit CallInProgress(Metrics& metrics)
        : m_metrics(metrics)
    {
        m_metrics.callsInProgress(1);
    }
    ~CallInProgress() { m_metrics.callsInProgress(-1); }
    CallInProgress(const CallInProgress&) = delete;
    CallInProgress& operator=(const CallInProgress&) = delete;

private:
    Metrics& m_metrics;
};

}
