#pragma once

#include "../http/HttpMessages.h"
#include "ExchangeRecord.h"
#include "OpenRequest.h"
#include "ResponseSink.h"
#include "SseEventBuffer.h"
#include "TrafficEngine.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace borageslip::detail {

/** Why an exchange ends before its response is complete. */
enum class StopReason {
    None,
    CallerDisconnected,
    DeadlinePassed,
    InstanceStopped,
};

/** State of one request, shared by the steps that serve it one after another.

    Call it from the event loop only.
    @see Exchange, RequestAdmission, ReservationWait, ServerAttempt, ResponseReceiver, ResponseDelivery */
struct ExchangeContext : public std::enable_shared_from_this<ExchangeContext> {
    ExchangeContext(TrafficEngine&, ResponseSink&, HttpRequest, TimePoint arrivedAt);
    ExchangeContext(const ExchangeContext&) = delete;
    ExchangeContext& operator=(const ExchangeContext&) = delete;

    const Route& route() const { return *admitted.route; }
    bool isStopped() const { return stopReason != StopReason::None; }
    std::chrono::milliseconds timeLeft() const;
    void setPhase(RequestPhase);

    /** Stops the request when its deadline passes. */
    void startDeadline();
    void stop(StopReason);

    /** Rejects a request whose prompt has quarantined parts: sets the error and returns true. */
    bool isQuarantined();

    /** Rejects a request that has not run and would not be finished before the end of a planned stop: sets the error and
        returns true. */
    bool isTooLateToStart();

    /** Tokens that a server without any of the prompt in its cache has to prefill. */
    int64_t promptTokens() const;
    std::vector<PromptFingerprint> interruptedFingerprints() const;

    /** Whether the route allows another attempt if the current one may have run. */
    bool mayBeSentAgain() const { return route().mayRunAgain() && sendCount + 1 < route().maxAttempts; }

    /** Records that an attempt has sent nothing because its server was evacuated. */
    void recordAbandoned(const BackendServer&);

    void countOutcome(uint64_t TrafficCounts::*);
    void recordWait(TimePoint since);
    bool tryAcquireRetry();

    /** Whether another backend server can be told after which event a broken stream goes on. */
    bool canStateLastEvent() const { return isFieldValue(events.lastEventId().value_or("")); }

    void logOutcome(Severity, std::string_view event, std::string_view outcome, std::string_view detail) const;

    TrafficEngine& engine;
    ResponseSink& sink;
    HttpRequest request;
    RequestMetadata metadata;
    AdmittedRequest admitted;
    TimePoint arrivedAt;
    TimePoint receivedAt; ///< When the request was complete.
    TimePoint deadline;
    boost::asio::steady_timer deadlineTimer;
    StopReason stopReason = StopReason::None;
    RequestPhase phase = RequestPhase::Admission;
    TimePoint phaseBegunAt;
    BackendServerPtr activeServer; ///< Of the current attempt; null between attempts.
    ServerConnectionPtr activeConnection; ///< Connection of the current attempt; null between attempts.
    AutoResetEvent wakeEvent;
    std::vector<uint64_t> triedServers; ///< Hashes of the backend servers to which an attempt was made.
    ExchangeRecord record;
    ChoiceReason choiceReason = ChoiceReason::LeastLoaded; ///< Of the latest chosen server.
    int sendCount = 0;
    bool hasReservedRetry = false; ///< A retry was taken from the budget and has not been used yet.
    bool repeatsAbandoned = false; ///< The next attempt takes the place of an abandoned one.
    bool mayHaveRun = false;
    bool mayHaveCrashedServer = false; ///< A server crashed when it had begun to respond to this request.
    bool isOutcomeCounted = false;
    std::chrono::milliseconds expectedWait { 0 }; ///< Until there is capacity, as told by the coordinator of the service.
    Error lastError { ErrorKind::NoEngineAvailable, "" };
    SseEventBuffer events;
};

}
