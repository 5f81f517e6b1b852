#pragma once

#include "../idempotency/RecordedOutcome.h"

#include <borageslip_core/errors/Result.h>
#include <borageslip_core/time/Clock.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace httplib {
class Client;
}

namespace borageslip {

/** A call to a plain HTTP service. */
struct ServiceRequest {
    enum class RetryPolicy {
        Allowed,
        Forbidden, ///< Sent only once, on a new connection.
    };

    std::string host;
    int port = 0;
    std::string method;
    std::string target; ///< Path and query, as the caller sent them.
    std::vector<std::pair<std::string, std::string>> headers {};
    std::string body {};
    RetryPolicy retryPolicy = RetryPolicy::Forbidden;
    TimePoint deadline = TimePoint::max();
};

/** Returns the headers without the hop-by-hop headers (RFC 9110 section 7.6.1), Host and Content-Length. */
std::vector<std::pair<std::string, std::string>> endToEndHeaders(std::span<const std::pair<std::string, std::string>>);

/** Forwards calls to plain HTTP services. Any HTTP status of the service is a result, not an error.

    Keeps a bounded number of idle connections for calls that may be retried. Thread-safe; call() blocks its thread. */
class ServiceClient {
public:
    struct Settings {
        std::chrono::milliseconds connectTimeout { 500 };
        std::chrono::milliseconds livenessTimeout { 10000 };
        size_t maxBodyBytes = 8 * 1024 * 1024;
        size_t maxIdlePerService = 8;
    };

    /** @param clock must outlive the client. */
    ServiceClient(const Clock& clock, Settings);
    ~ServiceClient();
    ServiceClient(const ServiceClient&) = delete;
    ServiceClient& operator=(const ServiceClient&) = delete;

    /** Sends the call and waits for the response.
        Errors: ServiceUnreachable and DeadlineBeforeStart (not run); ServiceFailed, ConnectionSilent and
        DeadlineExceeded (may have run). */
    Result<RecordedOutcome> call(const ServiceRequest&);

private:
    using Address = std::pair<std::string, int>;

    std::unique_ptr<httplib::Client> takeIdleConnection(const Address&);
    void storeIdleConnection(const Address&, std::unique_ptr<httplib::Client>);
    Result<RecordedOutcome> callOn(httplib::Client&, const ServiceRequest&) const;

    const Clock* m_clock;
    const Settings m_settings;
    std::mutex m_mutex;
    std::map<Address, std::vector<std::unique_ptr<httplib::Client>>> m_idle;
};

}
