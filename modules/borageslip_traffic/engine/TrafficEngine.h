#pragma once

#include "../configuration/TrafficConfiguration.h"
#include "../http/HttpMessages.h"
#include "../limits/FleetRetryBudget.h"
#include "../limits/RequestQueue.h"
#include "../placement/ServerChoice.h"
#include "../protocol/CallerProtocol.h"
#include "../servers/ServerTable.h"

#include <borageslip_core/errors/Result.h>

#include <array>
#include <map>
#include <memory>
#include <random>

namespace borageslip {

using TrafficConfigurationPtr = std::shared_ptr<const TrafficConfiguration>;

/** Settings of the traffic path. */
struct TrafficSettings {
    std::string failureDomain;
    FleetRetryBudget::Limits retryBudget;
    ServerChoiceLimits choice;
    /** How long keys are accepted without word from the store; absent: without limit. */
    std::optional<Duration> keyLifetime {};
};

/** A request that may be served, and on what terms. */
struct AdmittedRequest {
    TrafficConfigurationPtr configuration; ///< Keeps the route alive.
    const Route* route = nullptr;
    std::string account;
    int accountPriority = 0;
    std::string service;
};

/** Counts of what the traffic path did, for metrics. */
struct TrafficCounts {
    uint64_t requests = 0;
    uint64_t answered = 0;
    uint64_t refused = 0;
    uint64_t failed = 0;
    uint64_t callersGone = 0;
    uint64_t retries = 0;
    std::array<uint64_t, 9> durationBuckets {}; ///< Requests by duration, see durationBucketBound().
    Duration durationSum {};

    void recordDuration(Duration);
};

/** Upper bound of a bucket of durations in seconds; the last one has none. */
double durationBucketBound(size_t bucket);

/** What all requests of this instance share: the configuration in force, the backend servers, the queues and the retry
    budgets. Decides who may be served where; Exchange carries each request out.

    Lives on one event loop; not thread-safe.
    @see Exchange, CallerSession */
class TrafficEngine {
public:
    TrafficEngine(const Clock&, const boost::asio::any_io_executor&, const CallerProtocol&, TrafficSettings);
    TrafficEngine(const TrafficEngine&) = delete;
    TrafficEngine& operator=(const TrafficEngine&) = delete;

    /** Puts a configuration in force; one with a lower version than the present one is ignored. */
    void setConfiguration(TrafficConfigurationPtr);

    /** Refuses all further requests as not run, because this instance is about to end. */
    void refuseNewRequests() { m_refusesNewRequests = true; }

    /** Records that the configuration in force was the store's newest at that time. */
    void confirmConfiguration(TimePoint at) { m_confirmedAt = std::max(m_confirmedAt, at); }
    const TrafficConfigurationPtr& configuration() const { return m_configuration; }

    /** Time since the store last confirmed the configuration and the list of backend servers. */
    Duration knowledgeAge() const { return m_clock.now() - m_confirmedAt; }

    /** Whether keys may be accepted: the store has confirmed the configuration lately. */
    bool mayTrustKeys() const;

    /** Finds the route and the client account of a request.
        Errors: Draining, NoConfiguration, NotFound, StoreUnavailable, Unauthenticated. */
    Result<AdmittedRequest> admit(const HttpRequest&, const RequestFacts&) const;

    /** Chooses a backend server that has a place. @param excluded hashes of those that had the request before. */
    BackendServerPtr choose(const AdmittedRequest&, const RequestFacts&, std::span<const uint64_t> excluded);

    /** Prompt tokens that the server has to read for the request, as far as known. */
    static int64_t uncachedTokens(BackendServer&, const RequestFacts&);

    bool hasServers(std::string_view service) const;
    RequestQueue& queue(const std::string& service) { return m_queues[service]; }
    size_t waitingCount() const;
    FleetRetryBudget& retryBudget(const std::string& service);
    void setInstanceCount(size_t);

    /** To be called when a request at a backend server has ended. */
    void placeFreed(const std::string& service);

    /** A time for a refused caller to come back: spread, so that refused callers do not return together. */
    std::chrono::milliseconds retryAfter(std::chrono::milliseconds timeLeft);

    ServerTable& servers() { return m_servers; }
    const CallerProtocol& protocol() const { return m_protocol; }
    const Clock& clock() const { return m_clock; }
    const boost::asio::any_io_executor& executor() const { return m_executor; }
    TrafficCounts& counts() { return m_counts; }
    uint64_t nextOrder() { return ++m_order; }

    /** Buffer for bytes that are parsed at once; valid until the event loop goes on. */
    std::span<char> scratch() { return m_scratch; }

private:
    static constexpr size_t scratchBytes = 32 * 1024;

    const Clock& m_clock;
    boost::asio::any_io_executor m_executor;
    const CallerProtocol& m_protocol;
    TrafficSettings m_settings;
    TrafficConfigurationPtr m_configuration;
    TimePoint m_confirmedAt {};
    bool m_refusesNewRequests = false;
    ServerTable m_servers;
    std::map<std::string, RequestQueue, std::less<>> m_queues;
    std::map<std::string, FleetRetryBudget, std::less<>> m_retryBudgets;
    size_t m_instances = 1;
    TrafficCounts m_counts;
    uint64_t m_order = 0;
    std::minstd_rand m_random { std::random_device {}() };
    std::array<char, scratchBytes> m_scratch {};
};

}
