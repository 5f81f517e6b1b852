#pragma once

#include "../configuration/TrafficConfiguration.h"
#include "../http/HttpMessages.h"
#include "../limits/WaitQueue.h"
#include "../metrics/TrafficCounts.h"
#include "../net/AutoResetEvent.h"
#include "../placement/ReservationBroker.h"
#include "../protocol/CallerProtocol.h"
#include "../quarantine/CrashDetector.h"
#include "../quarantine/PromptQuarantine.h"
#include "../servers/ColdServers.h"
#include "../servers/EvacuationControl.h"
#include "../servers/ServerTable.h"
#include <borageslip_scheduling/limits/FleetRetryBudget.h>
#include <borageslip_scheduling/limits/MemoryBudget.h>
#include <borageslip_scheduling/limits/PriorityReserve.h>
#include <borageslip_scheduling/placement/ServerChoice.h>
#include <borageslip_scheduling/stop/StopSchedule.h>

#include <borageslip_core/errors/Result.h>

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace borageslip {

using TrafficConfigurationPtr = std::shared_ptr<const TrafficConfiguration>;

/** Settings of the traffic path. */
struct TrafficSettings {
    std::string failureDomain;
    FleetRetryBudget::Limits retryBudget;
    ServerChoiceLimits choice;
    /** How long keys are accepted after the store last confirmed the configuration; absent: without limit. */
    std::optional<Duration> keyLifetime {};
    /** Age of the configuration from which refusals by it have to be confirmed; absent: never. */
    std::optional<Duration> maxConfigurationAge {};
    /** The failure domains that may be evacuated; absent if evacuation is disabled. */
    std::optional<Evacuations::DomainSet> evacuableDomains {};
    ColdBoundSettings coldBound {};
    bool guardsServerMemory = false; ///< Whether requests are granted only as far as the memory of the servers holds them, @see ServerMemory.
    size_t bufferBytes = 32 * 1024 * 1024; ///< Limit of the budget for the buffers of all connections, @see MemoryBudget.
};

/** A request that passed route lookup and authentication. */
struct AdmittedRequest {
    TrafficConfigurationPtr configuration; ///< Owns `route`.
    const Route* route = nullptr;
    std::string account; ///< Empty for an anonymous request. It stays the same for all attempts, whatever becomes of the key.
    int accountPriority = 0;
    std::string service;
    uint64_t hash = 0; ///< Hash of the request id; selects the service and breaks ties between servers.
    uint64_t affinity = 0; ///< Hash of the prompt parts shared with other requests; 0 if there are none.
    uint64_t prefixTokens = 0; ///< Of the prompt parts shared with other requests.
    bool isKeyUnknown = false; ///< The request is anonymous because its key belongs to no client account of the configuration.

    RequestPriority requestPriority() const { return { accountPriority, route->priority }; }
};

/** State shared by all requests of this instance: the active configuration, the backend servers, the queues and the
    retry budgets.

    Admits requests and chooses their backend servers; an Exchange forwards each of them. Call it from the event loop
    that owns it; not thread-safe.
    @see Exchange, CallerSession */
class TrafficEngine {
public:
    TrafficEngine(const Clock&, const boost::asio::any_io_executor&, const CallerProtocol&, TrafficSettings);
    TrafficEngine(const TrafficEngine&) = delete;
    TrafficEngine& operator=(const TrafficEngine&) = delete;

    /** Activates a configuration. It is ignored unless its version is higher than that of the active one. */
    void setConfiguration(TrafficConfigurationPtr);

    /** Begins a planned stop, from which on only requests that will be finished are started. */
    void beginStop(const StopSchedule& schedule) { m_stop = schedule; }

    /** Whether a request may be sent to a backend server for the first time. @param receivedAt when it was complete.
        @see StopSchedule */
    bool mayStart(TimePoint receivedAt, TimePoint deadline) const { return !m_stop || m_stop->mayStart(receivedAt, deadline, m_clock.now()); }

    /** Sets whether other instances take the requests that this one rejects during a planned stop. */
    void setOthersAcceptCallers(bool others) { m_othersAcceptCallers = others; }

    /** Records that the active configuration was the newest one in the store at the given time. */
    void confirmConfiguration(TimePoint at);
    const TrafficConfigurationPtr& configuration() const { return m_configuration; }

    /** Version of the active configuration; 0 for none. */
    uint64_t configurationVersion() const { return m_configuration ? m_configuration->version() : 0; }
    TimePoint configurationConfirmedAt() const { return m_confirmedAt; }

    /** Whether the active configuration is known to have been the newest one recently enough to refuse requests by it. */
    bool isConfigurationFresh() const { return !m_settings.maxConfigurationAge || storeDataAge() <= *m_settings.maxConfigurationAge; }

    /** Notifies an event when the configuration has been confirmed, for as long as this object exists. */
    class ConfirmationWaiter {
    public:
        ConfirmationWaiter(TrafficEngine&, AutoResetEvent&);
        ~ConfirmationWaiter();
        ConfirmationWaiter(const ConfirmationWaiter&) = delete;
        ConfirmationWaiter& operator=(const ConfirmationWaiter&) = delete;

    private:
        TrafficEngine& m_engine;
        AutoResetEvent& m_event;
    };

    /** Limits of the active configuration, or the defaults if there is none yet. */
    CallerLimits callerLimits() const { return m_configuration ? m_configuration->limits() : CallerLimits(); }

    /** Time since the store last confirmed the configuration. */
    Duration storeDataAge() const { return m_clock.now() - m_confirmedAt; }

    /** Sets the mean time at which the known loads of the other instances were measured. */
    void setLoadTimestamp(TimePoint at) { m_loadTimestamp = at; }

    /** Mean age of the known loads of the other instances; zero if none is known. */
    Duration loadAge() const { return m_loadTimestamp == TimePoint() ? Duration::zero() : m_clock.now() - m_loadTimestamp; }

    /** Mean number of requests, from all instances, per in-service backend server of the service, as known to this
        instance. */
    double meanInFlight(std::string_view service) const;

    /** Whether the store has confirmed the configuration recently enough for keys to be accepted. */
    bool canAcceptKeys() const;

    /** Finds the route and the client account of a request. A request without a key is anonymous where its route allows it,
        whether or not keys can be verified; a request with a key is so only if the key is known to belong to no account.
        Errors: NoConfiguration, NotFound, StoreUnavailable, Unauthenticated. */
    Result<AdmittedRequest> admit(const HttpRequest&, const RequestMetadata&) const;

    struct ChosenServer {
        BackendServerPtr server; ///< Null if none has free capacity.
        ChoiceReason reason = ChoiceReason::LeastLoaded;
    };

    /** Chooses a backend server with free capacity and counts the reason.
        @param excluded hashes of the servers that must not be chosen. */
    ChosenServer choose(const AdmittedRequest&, std::span<const uint64_t> excluded);

    /** Records what a response states of the load of its server. */
    void recordServerLoad(BackendServer&, const ResponseMetadata&);

    /** The part of the request's prompt that other requests share. */
    static SharedPrefix sharedPrefix(const AdmittedRequest& admitted) { return { admitted.affinity, admitted.prefixTokens }; }

    /** Memory of each server of the service in tokens; 0 if it is unknown or not guarded. */
    uint64_t serverMemory(std::string_view service) const;
    bool guardsServerMemory() const { return m_settings.guardsServerMemory; }

    /** The most that the request can hold in the memory of a server; nothing where that is not guarded. */
    RequestMemory requestMemory(const RequestMetadata&, const AdmittedRequest&) const;

    /** Errors: NoEngineAvailable if the request is larger than the memory that a server has for one request. */
    Status checkServerMemory(const RequestMetadata&, const AdmittedRequest&);

    /** Counts the prompt tokens of an attempt. @param uncached tokens that are not expected in the prefix cache of the server. */
    void countPrompt(const RequestMetadata&, int64_t uncached);

    /** Sets the broker that grants reservations; without one, every reservation is granted. The broker must outlive all
        requests. */
    void setReservationBroker(ReservationBroker* broker) { m_reservationBroker = broker; }
    ReservationBroker* reservationBroker() const { return m_reservationBroker; }

    /** Limits up to which the server may be loaded for this request. */
    ReservationLimits reservationLimits(const BackendServer&, const AdmittedRequest&);

    /** Whether the slots of the service are granted from one queue for the fleet: it has no model engines and no route
        that places requests by their prompt prefixes. */
    bool usesServiceQueue(const AdmittedRequest&) const;
    const std::string& failureDomain() const { return m_settings.failureDomain; }
    const ServerChoiceLimits& choiceLimits() const { return m_settings.choice; }

    bool hasServersInService(std::string_view service) const;

    /** Time until a server of the service accepts requests of this instance again; zero if one does now. */
    Duration pauseOf(std::string_view service) const;

    /** Hashes of the service's servers that accept no requests of this instance at present. */
    std::vector<uint64_t> unavailableServers(std::string_view service) const;

    /** Hashes of the service's servers that have named a rate limit. */
    std::vector<uint64_t> rateLimitedServers(std::string_view service) const;
    WaitQueue& waitQueue(const std::string& service) { return serviceState(service).waitQueue; }
    size_t waitingCount() const;
    FleetRetryBudget& retryBudget(const std::string& service) { return serviceState(service).retryBudget; }

    /** To be called once for each admitted request. */
    void recordArrival(const AdmittedRequest&);
    void setInstanceCount(size_t);

    /** Moving average of the time that a backend server of the service takes for a request; zero if not known. */
    Duration serviceTime(const std::string& service) { return serviceState(service).serviceTime; }
    void recordServiceTime(const std::string& service, Duration);

    /** To be called when a request on a backend server has ended. Wakes the first request in the service's queue. */
    void onReservationReleased(const std::string& service);

    /** Retry delay for a rejected caller. Randomised, so that rejected callers do not all retry at once.
        @param expectedWait time until there is capacity; zero when not known. */
    std::chrono::milliseconds retryAfter(std::chrono::milliseconds timeLeft, std::chrono::milliseconds expectedWait);

    /** Retry delay for a caller rejected because of a planned stop: short if another instance takes the request, until the
        end of the stop otherwise. */
    std::chrono::milliseconds retryAfterStop(std::chrono::milliseconds timeLeft);

    ServerTable& servers() { return m_servers; }
    EvacuationControl& evacuation() { return m_evacuation; }
    ColdServers& coldServers() { return m_coldServers; }
    const ColdServers& coldServers() const { return m_coldServers; }
    PromptQuarantine& quarantine() { return m_quarantine; }
    CrashDetector& crashDetector() { return m_crashDetector; }

    /** Sets who is notified of crashes of servers and of cleared prompt parts; null for nobody. The listener must outlive
        all requests. */
    void setPromptHealthListener(PromptHealthListener*);

    /** Clears the parts of the fingerprints, because a response to a request with them proceeds. @param begunAt when its
        body began. */
    void recordProgress(std::span<const PromptFingerprint>, TimePoint begunAt);
    const CallerProtocol& protocol() const { return m_protocol; }
    const Clock& clock() const { return m_clock; }
    const boost::asio::any_io_executor& executor() const { return m_executor; }
    TrafficCounts& counts() { return m_counts; }
    uint64_t nextSequenceNumber() { return ++m_sequenceNumber; }

    /** For the bytes that connections hold which have not been passed on yet. */
    MemoryBudget& memory() { return m_memory; }

    /** Shared read buffer; its content is valid only until the coroutine suspends. */
    std::span<char> scratch() { return m_scratch; }

private:
    /** State shared by the requests of one service. */
    struct ServiceState {
        explicit ServiceState(const FleetRetryBudget::Limits& limits)
            : retryBudget(limits)
        {
        }

        WaitQueue waitQueue {};
        FleetRetryBudget retryBudget;
        PriorityReserve priorityReserve {};
        Duration serviceTime {}; ///< Moving average; zero if not known.
    };

    ServiceState& serviceState(const std::string& service);
    Duration coldStartOf(std::string_view service) const;
    void notifyOfCleared(const PromptFingerprint&);

    static constexpr size_t scratchBytes = 32 * 1024;

    const Clock& m_clock;
    boost::asio::any_io_executor m_executor;
    const CallerProtocol& m_protocol;
    TrafficSettings m_settings;
    TrafficConfigurationPtr m_configuration;
    TimePoint m_confirmedAt {};
    std::set<AutoResetEvent*> m_confirmationWaiters;
    TimePoint m_loadTimestamp {};
    std::optional<StopSchedule> m_stop;
    bool m_othersAcceptCallers = true;
    MemoryBudget m_memory;
    TrafficCounts m_counts;
    ServerTable m_servers;
    EvacuationControl m_evacuation;
    ColdServers m_coldServers;
    PromptQuarantine m_quarantine;
    CrashDetector m_crashDetector;
    PromptHealthListener* m_promptHealthListener = nullptr;
    std::map<std::string, ServiceState, std::less<>> m_services;
    std::vector<ServerCandidate> m_candidates; ///< Reused by choose() to avoid an allocation per call.
    std::vector<BackendServerPtr> m_candidateServers;
    size_t m_instanceCount = 1;
    ReservationBroker* m_reservationBroker = nullptr;
    uint64_t m_sequenceNumber = 0;
    std::minstd_rand m_random { std::random_device {}() };
    std::array<char, scratchBytes> m_scratch {};
};

}
