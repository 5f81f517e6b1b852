#pragma once

#include "ExchangeRecord.h"
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

/** Carries one request from its caller to a backend server and the answer back: waits for a place, sends it, sends it
    once more where that is allowed, and hands over the whole answer or an error whose "not run" is true.

    Call it from the event loop. It is kept alive by the coroutine of run().
    @see TrafficEngine, ResponseSink */
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    /** @param arrivedAt when the request's first byte arrived: its time limits run from there. */
    Exchange(TrafficEngine&, ResponseSink&, HttpRequest, TimePoint arrivedAt);

    /** Completes when the answer has been handed over or its caller has gone. */
    boost::asio::awaitable<void> run();

    /** To be called when the caller closes its connection. Work that may be repeated is ended at the backend server; a
        request that runs at most once is left to finish there. */
    void onCallerDisconnected();

private:
    /** Why the exchange has to end before its answer is complete. */
    enum class StopReason {
        None,
        CallerDisconnected,
        DeadlinePassed,
    };

    enum class AttemptResult {
        Delivered, ///< The answer has been handed over in full.
        NotSent, ///< The request has not reached the backend server that was meant.
        NotRun, ///< The backend server states that it did not run the request.
        Lost, ///< The request may have run; its answer is missing or broken.
        Aborted, ///< The caller has gone or the deadline has passed.
    };

    /** State of one send. */
    struct AttemptState {
        std::shared_ptr<detail::ServerReservation> reservation;
        BackendServerPtr server;
        ServerConnectionPtr connection;
        Attempt attempt {};
        TimePoint sentAt {};
        std::shared_ptr<bool> isWritten = std::make_shared<bool>(false);
    };

    boost::asio::awaitable<void> serve();
    using ReservationPtr = std::shared_ptr<detail::ServerReservation>;

    boost::asio::awaitable<Result<ReservationPtr>> awaitReservation();
    boost::asio::awaitable<Result<ReservationPtr>> waitInQueue();

    /** Chooses a server and gets a place there; null when no server has one. */
    boost::asio::awaitable<ReservationPtr> acquireReservation();
    boost::asio::awaitable<PlaceOutcome> requestReservation(BackendServer&);
    boost::asio::awaitable<AttemptResult> attempt(ReservationPtr);
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
    bool isResponseToThisRequest(const AttemptState&, const ResponseMetadata&) const;
    bool tryReserveRetry(unsigned status);
    void releaseConnection(AttemptState&, const ResponseReader&);
    void logOutcome(Severity, std::string_view event, std::string_view outcome, std::string_view detail) const;
    AttemptResult handleLostResponse(AttemptState&, std::string_view reason);
    AttemptResult handleMisdirected(AttemptState&);
    void startDeadline();
    void stop(StopReason);
    std::chrono::milliseconds timeLeft() const;
    const Route& route() const { return *m_admitted.route; }

    TrafficEngine& m_engine;
    ResponseSink& m_sink;
    HttpRequest m_request;
    RequestMetadata m_metadata;
    AdmittedRequest m_admitted;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    boost::asio::steady_timer m_deadlineTimer;
    StopReason m_stopReason = StopReason::None;
    ServerConnectionPtr m_activeConnection; ///< That of the attempt under way.
    AutoResetEvent m_wakeEvent;
    std::vector<uint64_t> m_triedServers; ///< Hashes of the backend servers that had the request or could not be reached.
    ExchangeRecord m_record;
    int m_sendCount = 0;
    bool m_hasReservedRetry = false; ///< A repeat has been taken from the budget and not been used yet.
    bool m_mayHaveRun = false;
    bool m_isOutcomeCounted = false; ///< It has been counted how the request ended.
    Error m_lastError { ErrorKind::NoEngineAvailable, "" };
    SseEventBuffer m_events;
};

}
