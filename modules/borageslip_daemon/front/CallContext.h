#pragma once

#include "../entry/FleetView.h"
#include "../metrics/Metrics.h"

#include <borageslip_core/borageslip_core.h>
#include <httplib.h>
#include <memory>

namespace borageslip {

/** Decides whether the daemon accepts calls. The handlers query it for each call. */
class CallGate {
public:
    virtual ~CallGate() = default;

    /** Returns the error for new calls, or no value while calls are accepted. */
    virtual std::optional<Error> refusal() const = 0;
};

/** Identity, account and configuration of a call, set by openCall(). */
struct CallContext {
    RequestId request;
    std::shared_ptr<const FleetView> fleet;
    AccountId account;
    const AccountSettings* accountSettings = nullptr; ///< Owned by the fleet view.
    TimePoint receivedAt {};
};

/** Assigns a request id to a call, authenticates it and fills in the context.
    Errors: Draining, NoConfiguration, Unauthenticated. The request id is also set on failure. */
std::optional<Error> openCall(const httplib::Request&, const CallGate&, const FleetViewHolder&, const Clock&, CallContext&);

/** Returns the bearer key of the request, or an empty string. */
std::string_view bearerKey(const httplib::Request&);

/** Counts a call as in progress during the lifetime of this object. */
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
