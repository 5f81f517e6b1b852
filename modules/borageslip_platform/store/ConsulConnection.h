#pragma once

#include "../calls/CallBudget.h"

#include <chrono>
#include <string>

namespace borageslip {

/** Calls to the platform's Consul-compatible HTTP API, with timeouts, a call budget and typed errors.

    Each call opens its own connection: on a kept connection that the peer has closed, a write could fail after its
    bytes had left, and its outcome would be unknown without need. Thread-safe.
    @see ConsulStore, InstanceList */
class ConsulConnection {
public:
    struct Settings {
        std::string host;
        int port = 0;
        std::chrono::milliseconds connectTimeout { 1000 };
        std::chrono::milliseconds readTimeout { 3000 };
    };

    struct Request {
        PlatformCall call;
        std::string method; ///< GET, PUT or DELETE.
        std::string target; ///< Path and query, percent-encoded.
        std::string body {};
        std::chrono::milliseconds extraReadTime { 0 }; ///< For a call that the platform holds open.
    };

    struct Answer {
        int status = 0;
        std::string body;
        uint64_t index = 0; ///< X-Consul-Index, 0 when absent.
    };

    ConsulConnection(Settings, CallBudget&);
    ConsulConnection(const ConsulConnection&) = delete;
    ConsulConnection& operator=(const ConsulConnection&) = delete;

    /** Returns answers with status 200 or 404.
        Errors: StoreUnavailable; StoreOutcomeUnknown for a PUT or DELETE that may have taken effect; LeaseLost when the
        platform says that the session is invalid. */
    Result<Answer> perform(const Request&) const;

private:
    const Settings m_settings;
    CallBudget& m_budget;
};

}
