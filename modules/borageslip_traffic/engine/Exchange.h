#pragma once

#include "ExchangeRecord.h"
#include "OpenRequest.h"
#include "ResponseSink.h"
#include "ResponseSource.h"
#include "SseEventBuffer.h"
#include "TrafficEngine.h"

#include <borageslip_request/attempt/AttemptChart.h>

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace borageslip {

namespace detail {
    class ServerReservation;
}

/** Forwards one request to a backend server and returns the response to the caller.

    Waits for a reservation on a backend server, sends the request, retries it where the route and the retry budget
    allow, and delivers either the complete response or an error. An error states "not run" only if the request
    certainly did not run.

    Call it from the event loop only. The coroutine of run() keeps it alive.
    @see TrafficEngine, ResponseSink */
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    /** @param arrivedAt when the first byte of the request arrived; its timeouts count from then. */
    Exchange(TrafficEngine&, ResponseSink&, HttpRequest, TimePoint arrivedAt);

    /** Completes when the response has been written or the caller has disconnected. */
    boost::asio::awaitable<void> run();

    /** To be called when the caller closes its connection. Cancels the request at the backend server, except for a
        request that runs at most once, which is left to finish there. */
    void onCallerDisconnected();

    /** Ends the request because of a planned stop: with an answer, unless the caller has got a part of the response. */
    void endForStop(StopScope);

    /** How far the request has come. */
    OpenRequest openRequest() const;

private:
    /** Why the exchange ends before its response is complete. */
    enum class StopReason {
        None,
        CallerDisconnected,
        DeadlinePassed,
        InstanceStopped,
    };

    /** How one attempt to send the request ended. */
    enum class AttemptResult {
        Delivered, ///< The complete response was delivered to the caller.
        NotPermitted, ///< The backend server is cold, and there is no valid permit for the request. Nothing was sent.
        NotSent, ///< The request did not reach the intended backend server.
        NotRun, ///< The backend server reported that it did not run the request.
        Lost, ///< The request may have run, but its response is missing or incomplete.
        Aborted, ///< The caller disconnected or the deadline passed, or the response was cut off after its start.
    };

    /** Whether a request may wait for the server that has its prompt prefix. */
    enum class PrefixWait {
        Allowed,
        None,
    };

    /** State of one attempt. */
    struct AttemptState {
        std::shared_ptr<detail::ServerReservation> reservation;
        BackendServerPtr server;
        ServerConnectionPtr connection;
        Attempt attempt {};
        TimePoint sentAt {};
        TimePoint bodyBegunAt {}; ///< When the first event or body bytes arrived.
        size_t earlierEvents = 0; ///< Events that the caller got from earlier attempts.
        bool isResponseBegun = false; ///< Whether the header of the response has arrived.
        bool isConnectionLost = false;
        bool hasProgressed = false; ///< Whether the response went on after its first event, or is complete. Clears the parts of the prompt; until then a crash makes them suspects.
        std::shared_ptr<bool> isWritten = std::make_shared<bool>(false);
    };

    /** Admits the request once the configuration has been confirmed, so that no request is refused because this instance
        has not learned of a change. Errors: also StoreUnavailable if it is not confirmed in time. */
    boost::asio::awaitable<Result<AdmittedRequest>> admitWhenConfirmed();
    boost::asio::awaitable<void> serve();
    using ReservationPtr = std::shared_ptr<detail::ServerReservation>;

    boost::asio::awaitable<Result<ReservationPtr>> awaitReservation();

    /** Waits until a server of the service accepts requests of this instance. Errors: Overloaded if none does in time. */
    boost::asio::awaitable<Status> awaitEndOfPause();
    boost::asio::awaitable<Result<ReservationPtr>> waitInQueue();

    /** Waits for a slot from the queue of the service. */
    boost::asio::awaitable<Result<ReservationPtr>> awaitSlot();
    boost::asio::awaitable<std::unique_ptr<SlotTicket>> awaitDecision(const SlotDemand&);
    SlotDemand slotDemand() const;
    Error rejectionError(const SlotTicket&);

    /** Chooses a backend server and reserves capacity on it; null if no server has any. */
    boost::asio::awaitable<ReservationPtr> acquireReservation(PrefixWait);

    /** How long the request waits for a slot of the server that has its prompt prefix. */
    std::chrono::milliseconds prefixWait() const;

    /** Tokens that a server without any of the prompt in its cache has to prefill. */
    int64_t promptTokens() const;
    boost::asio::awaitable<ReservationResult> requestReservation(BackendServer&, std::chrono::milliseconds waitWithin);
    boost::asio::awaitable<AttemptResult> attempt(ReservationPtr);

    /** Undoes the attempt at a cold backend server for which there is no valid permit, before anything was sent. */
    AttemptResult withholdFromCold(AttemptState&);

    /** Replaces a cold server by the one for which a permit was obtained, and all cold servers are excluded if there is none. */
    struct PermittedServer {
        BackendServerPtr server; ///< Null if there is no permit.
        std::optional<ColdPermit> permit {};
    };
    boost::asio::awaitable<PermittedServer> awaitPermit(BackendServerPtr, std::vector<uint64_t>& excluded);
    boost::asio::awaitable<AttemptResult> send(AttemptState&);
    boost::asio::awaitable<AttemptResult> receive(AttemptState&);
    boost::asio::awaitable<AttemptResult> handleNotRun(AttemptState&, ResponseSource&);
    boost::asio::awaitable<AttemptResult> deliverBuffered(AttemptState&, ResponseSource&);
    boost::asio::awaitable<AttemptResult> deliverStream(AttemptState&, ResponseSource&);
    boost::asio::awaitable<void> finish(Error);

    static boost::asio::awaitable<void> writeRequest(std::shared_ptr<Exchange>, ServerConnectionPtr, std::string head, std::shared_ptr<bool> isWritten);

    QueuedRequest queuedRequest() const;
    void countOutcome(uint64_t TrafficCounts::*);
    void recordWait(TimePoint since);
    bool tryAcquireRetry();
    void recordServerHealth(const AttemptState&, unsigned status);
    std::string forwardedHead(const BackendServer&) const;
    void applyServerNotices(const AttemptState&, const ResponseMetadata&);
    void applyRateLimit(const AttemptState&, const ResponseMetadata&);
    bool isResponseToThisRequest(const AttemptState&, const ResponseMetadata&) const;
    bool tryReserveRetry(unsigned status);
    void releaseConnection(AttemptState&, const ResponseReader&);
    void logOutcome(Severity, std::string_view event, std::string_view outcome, std::string_view detail) const;
    AttemptResult handleLostResponse(AttemptState&, std::string_view reason);
    AttemptResult handleLostConnection(AttemptState&, std::string_view reason);

    /** Rejects a request whose prompt has quarantined parts: sets the error and returns true. */
    bool isQuarantined();

    /** Rejects a request that has not run and would not be finished before the end of a planned stop: sets the error and
        returns true. */
    bool isTooLateToStart();

    /** Reports the request as a suspect if the server has crashed before its response was complete. */
    boost::asio::awaitable<void> checkForCrash(const AttemptState&);
    void recordProgress(AttemptState&);
    void recordCompletion(AttemptState&);
    std::vector<PromptFingerprint> interruptedFingerprints() const;
    AttemptResult handleMisdirected(AttemptState&);
    void startDeadline();
    void stop(StopReason);
    void setPhase(RequestPhase);
    std::chrono::milliseconds timeLeft() const;
    const Route& route() const { return *m_admitted.route; }

    TrafficEngine& m_engine;
    ResponseSink& m_sink;
    HttpRequest m_request;
    RequestMetadata m_metadata;
    AdmittedRequest m_admitted;
    TimePoint m_arrivedAt;
    TimePoint m_receivedAt; ///< When the request was complete.
    TimePoint m_deadline;
    boost::asio::steady_timer m_deadlineTimer;
    StopReason m_stopReason = StopReason::None;
    RequestPhase m_phase = RequestPhase::Admission;
    TimePoint m_phaseBegunAt;
    BackendServerPtr m_activeServer; ///< Of the current attempt; null between attempts.
    ServerConnectionPtr m_activeConnection; ///< Connection of the current attempt; null between attempts.
    AutoResetEvent m_wakeEvent;
    std::vector<uint64_t> m_triedServers; ///< Hashes of the backend servers to which an attempt was made.
    ExchangeRecord m_record;
    ChoiceReason m_choiceReason = ChoiceReason::LeastLoaded; ///< Of the latest chosen server.
    int m_sendCount = 0;
    bool m_hasReservedRetry = false; ///< A retry was taken from the budget and has not been used yet.
    bool m_mayHaveRun = false;
    bool m_mayHaveCrashedServer = false; ///< A server crashed when it had begun to respond to this request.
    bool m_isOutcomeCounted = false;
    std::chrono::milliseconds m_expectedWait { 0 }; ///< Until there is capacity, as told by the coordinator of the service.
    Error m_lastError { ErrorKind::NoEngineAvailable, "" };
    SseEventBuffer m_events;
};

}
