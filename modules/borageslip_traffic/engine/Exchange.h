#pragma once

#include "AnswerSink.h"
#include "AnswerSource.h"
#include "EventFilter.h"
#include "ExchangeRecord.h"
#include "TrafficEngine.h"

#include <borageslip_request/attempt/AttemptChart.h>

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace borageslip {

namespace detail {
    class Place;
}

/** Carries one request from its caller to a backend server and the answer back: waits for a place, sends it, sends it
    once more where that is allowed, and hands over the whole answer or an error whose "not run" is true.

    Call it from the event loop. It is kept alive by the coroutine of run().
    @see TrafficEngine, AnswerSink */
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    /** @param arrivedAt when the request's first byte arrived: its time limits run from there. */
    Exchange(TrafficEngine&, AnswerSink&, HttpRequest, TimePoint arrivedAt);

    /** Completes when the answer has been handed over or its caller has gone. */
    boost::asio::awaitable<void> run();

    /** To be called when the caller closes its connection. Work that may be repeated is ended at the backend server; a
        request that runs at most once is left to finish there. */
    void callerLeft();

private:
    /** Why the exchange has to end before its answer is complete. */
    enum class Stop {
        None,
        CallerLeft,
        DeadlinePassed,
    };

    enum class AttemptEnd {
        Delivered, ///< The answer has been handed over in full.
        NotSent, ///< The request has not reached the backend server that was meant.
        NotRun, ///< The backend server states that it did not run the request.
        Lost, ///< The request may have run; its answer is missing or broken.
        Ended, ///< The caller has gone or the deadline has passed.
    };

    /** State of one send. */
    struct AttemptState {
        std::shared_ptr<detail::Place> place;
        BackendServerPtr server;
        ServerConnectionPtr connection;
        Attempt chart {};
        TimePoint sentAt {};
        std::shared_ptr<bool> isWritten = std::make_shared<bool>(false);
    };

    boost::asio::awaitable<void> serve();
    using PlacePtr = std::shared_ptr<detail::Place>;

    boost::asio::awaitable<Result<PlacePtr>> awaitPlace();
    boost::asio::awaitable<Result<PlacePtr>> waitInQueue();

    /** Chooses a server and gets a place there; null when no server has one. */
    boost::asio::awaitable<PlacePtr> findPlace();
    boost::asio::awaitable<ReservationOutcome> requestPlace(BackendServer&);
    boost::asio::awaitable<AttemptEnd> attempt(PlacePtr);
    boost::asio::awaitable<AttemptEnd> send(AttemptState&);
    boost::asio::awaitable<AttemptEnd> receive(AttemptState&);
    boost::asio::awaitable<AttemptEnd> refusedByServer(AttemptState&, AnswerSource&);
    boost::asio::awaitable<AttemptEnd> deliverBuffered(AttemptState&, AnswerSource&);
    boost::asio::awaitable<AttemptEnd> deliverStream(AttemptState&, AnswerSource&);
    boost::asio::awaitable<void> conclude(Error);

    static boost::asio::awaitable<void> writeRequest(std::shared_ptr<Exchange>, ServerConnectionPtr, std::string head, std::shared_ptr<bool> isWritten);

    QueuedRequest queuedRequest() const;
    void countOutcome(uint64_t TrafficCounts::*);
    void noteWait(TimePoint since);
    bool takeRetry();
    void noteAnswer(const AttemptState&, unsigned status);
    std::string handoverHead(const BackendServer&) const;
    bool isAnswerOwn(const AttemptState&, const AnswerFacts&) const;
    bool mayRetryFailure(unsigned status);
    void release(AttemptState&, const AnswerReader&);
    void logOutcome(Severity, std::string_view event, std::string_view outcome, std::string_view detail) const;
    AttemptEnd lost(AttemptState&, std::string_view reason);
    AttemptEnd misdirected(AttemptState&);
    void startDeadline();
    void stop(Stop);
    std::chrono::milliseconds timeLeft() const;
    const Route& route() const { return *m_admitted.route; }

    TrafficEngine& m_engine;
    AnswerSink& m_sink;
    HttpRequest m_request;
    RequestFacts m_facts;
    AdmittedRequest m_admitted;
    TimePoint m_arrivedAt;
    TimePoint m_deadline;
    boost::asio::steady_timer m_deadlineTimer;
    Stop m_stop = Stop::None;
    ServerConnectionPtr m_connection; ///< That of the attempt under way.
    Signal m_placeSignal;
    std::vector<uint64_t> m_tried; ///< Hashes of the backend servers that had the request or could not be reached.
    ExchangeRecord m_record;
    int m_sends = 0;
    bool m_hasRetryGrant = false; ///< A repeat has been taken from the budget and not been used yet.
    bool m_mayHaveRun = false;
    bool m_hasOutcome = false; ///< It has been counted how the request ended.
    Error m_lastError { ErrorKind::NoEngineAvailable, "" };
    EventFilter m_events;
};

}
