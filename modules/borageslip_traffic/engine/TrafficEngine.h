#pragma once

#include "../configuration/TrafficConfiguration.h"
#include "../http/HttpMessages.h"
#include "../limits/FleetRetryBudget.h"
#include "../limits/UrgentReserve.h"
#include "../limits/WaitingRoom.h"
#include "../metrics/TrafficCounts.h"
#include "../placement/PlaceBroker.h"
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
    uint64_t hash = 0; ///< Of the request's identity; spreads choices among equals.
    uint64_t affinity = 0; ///< Hash of the prompt's parts that other requests share; 0 for none.

    Urgency requestPriority() const { return { accountPriority, route->priority }; }
};

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

    /** Bounds of what a caller may send: those in force, or the usual ones before there is a configuration. */
    CallerLimits callerLimits() const { return m_configuration ? m_configuration->limits() : CallerLimits(); }

    /** Time since the store last confirmed the configuration and the list of backend servers. */
    Duration storeDataAge() const { return m_clock.now() - m_confirmedAt; }

    /** Records when the loads of the other instances were true, on average. */
    void setLoadTimestamp(TimePoint at) { m_loadTimestamp = at; }

    /** Mean age of what is known of the other instances' loads; zero when nothing is known of any. */
    Duration loadAge() const { return m_loadTimestamp == TimePoint() ? Duration::zero() : m_clock.now() - m_loadTimestamp; }

    /** Mean number of requests of all instances at a server of the service that is in service, as far as known. */
    double meanInFlight(std::string_view service) const;

    /** Whether keys may be accepted: the store has confirmed the configuration lately. */
    bool canAcceptKeys() const;

    /** Finds the route and the client account of a request.
        Errors: Draining, NoConfiguration, NotFound, StoreUnavailable, Unauthenticated. */
    Result<AdmittedRequest> admit(const HttpRequest&, const RequestMetadata&) const;

    /** Chooses a backend server that has a place, and counts why. @param excluded hashes of those that had the request
        before. */
    BackendServerPtr choose(const AdmittedRequest&, std::span<const uint64_t> excluded);

    /** Prompt tokens that the server has to read for the request, as far as known. */
    int64_t uncachedTokens(const BackendServer&, const AdmittedRequest&, const RequestMetadata&) const;

    /** Notes that the prompt is sent to the server, and counts its tokens. To be called once for each send. */
    void recordPrompt(BackendServer&, const AdmittedRequest&, const RequestMetadata&);

    /** Lets a broker grant places; without one each place is granted. It has to outlive all requests. */
    void setReservationBroker(PlaceBroker* broker) { m_reservationBroker = broker; }
    PlaceBroker* reservationBroker() const { return m_reservationBroker; }

    /** Up to what a server may be used when this request asks for a place there. */
    PlaceTerms reservationLimits(const BackendServer&, const AdmittedRequest&);
    const ServerChoiceLimits& choiceLimits() const { return m_settings.choice; }

    bool hasServersInService(std::string_view service) const;
    WaitingRoom& waitQueue(const std::string& service) { return serviceState(service).waitQueue; }
    size_t waitingCount() const;
    FleetRetryBudget& retryBudget(const std::string& service) { return serviceState(service).retryBudget; }

    /** To be called once for each admitted request. */
    void recordArrival(const AdmittedRequest&);
    void setInstanceCount(size_t);

    /** Usual time that a backend server of the service takes for a request; zero when not known. */
    Duration serviceTime(const std::string& service) { return serviceState(service).serviceTime; }
    void recordServiceTime(const std::string& service, Duration);

    /** To be called when a request at a backend server has ended. */
    void onReservationReleased(const std::string& service);

    /** A time for a refused caller to come back: spread, so that refused callers do not return together. */
    std::chrono::milliseconds retryAfter(std::chrono::milliseconds timeLeft);

    ServerTable& servers() { return m_servers; }
    const CallerProtocol& protocol() const { return m_protocol; }
    const Clock& clock() const { return m_clock; }
    const boost::asio::any_io_executor& executor() const { return m_executor; }
    TrafficCounts& counts() { return m_counts; }
    uint64_t nextSequenceNumber() { return ++m_sequenceNumber; }

    /** Buffer for bytes that are parsed at once; valid until the event loop goes on. */
    std::span<char> scratch() { return m_scratch; }

private:
    /** What requests of one service share. */
    struct ServiceState {
        explicit ServiceState(const FleetRetryBudget::Limits& limits)
            : retryBudget(limits)
        {
        }

        WaitingRoom waitQueue {};
        FleetRetryBudget retryBudget;
        UrgentReserve priorityReserve {};
        Duration serviceTime {}; ///< Moving average; zero when not known.
    };

    ServiceState& serviceState(const std::string& service);

    static constexpr size_t scratchBytes = 32 * 1024;

    const Clock& m_clock;
    boost::asio::any_io_executor m_executor;
    const CallerProtocol& m_protocol;
    TrafficSettings m_settings;
    TrafficConfigurationPtr m_configuration;
    TimePoint m_confirmedAt {};
    TimePoint m_loadTimestamp {};
    bool m_refusesNewRequests = false;
    ServerTable m_servers;
    std::map<std::string, ServiceState, std::less<>> m_services;
    std::vector<ServerCandidate> m_candidates; ///< Of the choice under way; kept for its memory.
    std::vector<BackendServerPtr> m_candidateServers;
    size_t m_instanceCount = 1;
    PlaceBroker* m_reservationBroker = nullptr;
    TrafficCounts m_counts;
    uint64_t m_sequenceNumber = 0;
    std::minstd_rand m_random { std::random_device {}() };
    std::array<char, scratchBytes> m_scratch {};
};

}
