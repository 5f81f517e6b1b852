#include "Exchange.h"

#include "ExchangeGuards.h"

#include <borageslip_core/errors/Invariant.h>
#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace borageslip {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr Duration connectLimit = milliseconds(250);
    constexpr int maxDenied = 4; ///< Places that a request is denied in a row before it waits in the queue.
    constexpr int maxUnreachable = 3; ///< Backend servers that a request finds unreachable before it gives up.
    constexpr int maxForeignAnswers = 2; ///< Answers to other requests that are passed over on one connection.
    constexpr size_t maxBufferedAnswer = 256 * 1024; ///< Bytes; a longer answer is passed on while it arrives.
    constexpr size_t maxInlineRequest = 4 * 1024; ///< Bytes; a longer body is written while the answer is awaited.

}

Exchange::Exchange(TrafficEngine& engine, AnswerSink& sink, HttpRequest request, TimePoint arrivedAt)
    : m_engine(engine)
    , m_sink(sink)
    , m_request(std::move(request))
    , m_facts(engine.protocol().requestFacts(m_request))
    , m_arrivedAt(arrivedAt)
    , m_deadline(arrivedAt)
    , m_deadlineTimer(engine.executor())
    , m_placeSignal(engine.executor())
    , m_record(m_facts.requestId, arrivedAt)
{
}

milliseconds Exchange::timeLeft() const
{
    return std::max(milliseconds(0), toMilliseconds(m_deadline - m_engine.clock().now()));
}

asio::awaitable<void> Exchange::run()
{
    ++m_engine.counts().requests;
    auto admitted = m_engine.admit(m_request, m_facts);
    if (!isOk(admitted)) {
        co_await conclude(error(admitted));
        co_return;
    }
    m_admitted = value(std::move(admitted));
    m_deadline = m_arrivedAt + std::min(route().timeout, m_facts.timeLeft.value_or(route().timeout));
    startDeadline();
    co_await serve();
    m_deadlineTimer.cancel();
    m_engine.counts().durations.record(m_engine.clock().now() - m_arrivedAt);
}

void Exchange::startDeadline()
{
    m_deadlineTimer.expires_after(timeLeft());
    m_deadlineTimer.async_wait([weak = weak_from_this()](boost::system::error_code failure) {
        const auto self = weak.lock();
        if (!failure && self)
            self->stop(Stop::DeadlinePassed);
    });
}

void Exchange::stop(Stop reason)
{
    if (m_stop != Stop::None)
        return;
    m_stop = reason;
    if (m_connection)
        m_connection->close();
    m_placeSignal.notify();
}

void Exchange::callerLeft()
{
    if (m_stop != Stop::None)
        return;
    const bool isLeftToFinish = m_connection && m_admitted.route != nullptr && route().kind == RequestKind::AtMostOnce;
    if (isLeftToFinish)
        return;
    countOutcome(&TrafficCounts::callersGone);
    stop(Stop::CallerLeft);
}

asio::awaitable<void> Exchange::serve()
{
    m_engine.recordArrival(m_admitted);
    int unreachable = 0;
    while (m_stop == Stop::None && m_sends < route().maxAttempts && unreachable < maxUnreachable) {
        auto place = co_await awaitPlace();
        if (!isOk(place)) {
            m_lastError = error(place);
            break;
        }
        if (m_sends > 0 && !m_hasRetryGrant && !takeRetry())
            break;
        if (m_sends > 0)
            ++m_engine.counts().retries;
        m_hasRetryGrant = false;
        const auto end = co_await attempt(value(std::move(place)));
        if (end == AttemptEnd::Delivered) {
            logOutcome(Severity::Info, "answered", "delivered", "");
            co_return;
        }
        if (end == AttemptEnd::Ended)
            break;
        if (end == AttemptEnd::NotSent) {
            ++unreachable;
            continue;
        }
        ++m_sends;
        if (end == AttemptEnd::Lost && !route().mayRunAgain())
            break;
    }
    co_await conclude(m_lastError);
}

asio::awaitable<ReservationOutcome> Exchange::requestPlace(BackendServer& server)
{
    auto* broker = m_engine.placeBroker();
    if (broker == nullptr)
        co_return ReservationOutcome::Granted;
    const auto terms = m_engine.placeTerms(server, m_admitted);
    co_return co_await broker->requestReservation(server, terms);
}

asio::awaitable<Exchange::PlacePtr> Exchange::findPlace()
{
    auto excluded = m_tried;
    for (int denied = 0; denied < maxDenied && m_stop == Stop::None; ++denied) {
        const auto server = m_engine.choose(m_admitted, excluded);
        if (!server)
            break;
        auto place = std::make_shared<detail::Place>(m_engine, server, m_engine.uncachedTokens(*server, m_admitted, m_facts));
        const auto outcome = co_await requestPlace(*server);
        // A keeper that does not answer must not keep requests from a server that has room as far as is known here.
        if (outcome != ReservationOutcome::Denied) {
            place->take();
            co_return place;
        }
        excluded.push_back(server->hash());
    }
    co_return nullptr;
}

asio::awaitable<Result<Exchange::PlacePtr>> Exchange::awaitPlace()
{
    if (!m_engine.hasServers(m_admitted.service))
        co_return Error { ErrorKind::NoEngineAvailable, "no backend server of \"" + m_admitted.service + "\" is in service" };
    const bool isRepeat = !m_tried.empty();
    if (isRepeat || m_engine.waitingRoom(m_admitted.service).isEmpty()) {
        auto place = co_await findPlace();
        if (place)
            co_return place;
    }
    if (isRepeat)
        co_return m_lastError;
    co_return co_await waitInQueue();
}

void Exchange::countOutcome(uint64_t TrafficCounts::*counter)
{
    // A caller may leave while its answer is being written.
    if (!std::exchange(m_hasOutcome, true))
        ++(m_engine.counts().*counter);
}

void Exchange::noteWait(TimePoint since)
{
    const auto waited = m_engine.clock().now() - since;
    m_record.waited(waited);
    m_engine.counts().waits.record(waited);
}

bool Exchange::takeRetry()
{
    const bool isAllowed = m_engine.retryBudget(m_admitted.service).tryRetry(m_engine.clock().now());
    if (!isAllowed)
        ++m_engine.counts().retriesDenied;
    return isAllowed;
}

QueuedRequest Exchange::queuedRequest() const
{
    // Callers choose the identities of their requests, and a repeated one may come while the first one waits.
    const RequestId id(std::to_string(m_engine.nextOrder()));
    return { id, AccountId(m_admitted.account), requestCost(m_facts.promptTokens, m_facts.maxOutputTokens), m_engine.clock().now(), m_deadline };
}

asio::awaitable<Result<Exchange::PlacePtr>> Exchange::waitInQueue()
{
    const Error overloaded { ErrorKind::Overloaded, "no place at a backend server of \"" + m_admitted.service + "\" in time" };
    // A stream's time limit ends with its last event, and its caller is served from the first one on.
    const auto serviceTime = route().kind == RequestKind::Stream ? Duration::zero() : m_engine.serviceTime(m_admitted.service);
    const auto giveUpAt = latestStart(m_arrivedAt, m_deadline, route().latencyObjective, serviceTime);
    WaitQueueEntry turn(m_engine.waitingRoom(m_admitted.service), m_admitted.urgency(), queuedRequest(), m_placeSignal);
    const auto queuedAt = m_engine.clock().now();
    while (m_stop == Stop::None && turn.isWaiting()) {
        if (turn.isFirst()) {
            auto place = co_await findPlace();
            if (place) {
                turn.dequeue();
                noteWait(queuedAt);
                co_return place;
            }
        }
        const auto left = giveUpAt - m_engine.clock().now();
        if (left <= Duration::zero())
            break;
        co_await m_placeSignal.waitFor(std::min<Duration>(left, queueCheckInterval));
    }
    noteWait(queuedAt);
    co_return overloaded;
}

asio::awaitable<Exchange::AttemptEnd> Exchange::attempt(PlacePtr place)
{
    const auto server = place->server();
    m_record.sent(*server, m_engine);
    m_tried.push_back(server->hash());
    AttemptState state { std::move(place), server, server->pool().takeIdle() };
    if (!state.connection) {
        auto connected = co_await ConnectionPool::connect(m_engine.executor(), server->pool().endpoint(), connectLimit);
        if (!isOk(connected)) {
            server->recordUnreachable();
            m_lastError = error(connected);
            logEvent(Severity::Warning, "server-unreachable", { { "request", m_facts.requestId }, { "server", server->description().id }, { "detail", m_lastError.detail } });
            co_return AttemptEnd::NotSent;
        }
        state.connection = value(std::move(connected));
    }
    if (m_stop != Stop::None)
        co_return AttemptEnd::Ended;
    if (!server->isInService()) {
        m_lastError = { ErrorKind::EngineUnreachable, "the backend server left while a connection was opened" };
        co_return AttemptEnd::NotSent;
    }
    m_connection = state.connection;
    const auto end = co_await send(state);
    m_connection = nullptr;
    if (m_stop != Stop::None && end != AttemptEnd::Delivered) {
        m_mayHaveRun |= state.chart.mayHaveRun();
        co_return AttemptEnd::Ended;
    }
    co_return end;
}

std::string Exchange::handoverHead(const BackendServer& server) const
{
    HttpRequest outgoing;
    outgoing.method_string(m_request.method_string());
    outgoing.target(m_request.target());
    for (const auto& field : m_request)
        outgoing.insert(field.name_string(), field.value());
    removeConnectionFields(outgoing);
    HandoverFacts facts { timeLeft(), server.description().id, m_admitted.account };
    if (m_events.lastEventId())
        facts.resumeAfter = *m_events.lastEventId();
    m_engine.protocol().prepareHandover(outgoing, facts);
    return serializeRequestHead(outgoing, m_request.body().size());
}

asio::awaitable<void> Exchange::writeRequest(std::shared_ptr<Exchange> self, ServerConnectionPtr connection, std::string head, std::shared_ptr<bool> isWritten)
{
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(head), asio::buffer(self->m_request.body()) };
    boost::system::error_code failure;
    co_await asio::async_write(connection->socket, buffers, asio::redirect_error(asio::use_awaitable, failure));
    *isWritten = !failure;
}

asio::awaitable<Exchange::AttemptEnd> Exchange::send(AttemptState& state)
{
    state.chart.fire(AttemptEvent::Send);
    state.sentAt = m_engine.clock().now();
    m_engine.servers().recordSend(*state.server);
    auto head = handoverHead(*state.server);
    // A backend server may answer before it has read a long body, and read on later.
    if (head.size() + m_request.body().size() > maxInlineRequest)
        asio::co_spawn(m_engine.executor(), writeRequest(shared_from_this(), state.connection, std::move(head), state.isWritten), asio::detached);
    else
        co_await writeRequest(shared_from_this(), state.connection, std::move(head), state.isWritten);
    co_return co_await receive(state);
}

bool Exchange::isAnswerOwn(const AttemptState& state, const AnswerFacts& facts) const
{
    if (!facts.requestId.empty())
        return facts.requestId == m_facts.requestId;
    // Without an identity it can only be told by a connection that has carried no other request.
    return !state.connection->hasCarriedRequest && (facts.isNotRun || facts.isMisdirected);
}

asio::awaitable<Exchange::AttemptEnd> Exchange::receive(AttemptState& state)
{
    const auto bodyKind = m_request.method() == boost::beast::http::verb::head ? AnswerReader::Body::None : AnswerReader::Body::Expected;
    m_engine.notePrompt(*state.server, m_admitted, m_facts);
    for (int foreign = 0; foreign <= maxForeignAnswers; ++foreign) {
        AnswerSource source(*state.connection, m_engine.scratch(), bodyKind);
        const auto& reader = source.reader();
        const bool hasHead = co_await source.readHead();
        state.place->answerBegan();
        if (!hasHead)
            co_return lost(state, "connection lost before an answer");
        const auto facts = m_engine.protocol().answerFacts(reader.head().result_int(), reader.head());
        if (!isAnswerOwn(state, facts)) {
            logEvent(Severity::Warning, "foreign-answer", { { "request", m_facts.requestId }, { "server", state.server->description().id }, { "answer", facts.requestId } });
            const bool isWhole = co_await source.discardRest();
            if (!isWhole || reader.framing() == BodyFraming::UntilClose)
                co_return lost(state, "connection lost after an answer to another request");
            continue;
        }
        if (facts.isEncoded)
            co_return lost(state, "encoded answer");
        if (facts.isMisdirected)
            co_return misdirected(state);
        if (facts.isNotRun)
            co_return co_await refusedByServer(state, source);
        noteAnswer(state, reader.head().result_int());
        const bool isSuccess = reader.head().result_int() / 100 == 2;
        if (!isSuccess && mayRetryFailure(reader.head().result_int())) {
            m_mayHaveRun = true;
            m_lastError = { ErrorKind::ServiceFailed, "the backend server failed" };
            state.connection->close();
            co_return AttemptEnd::Lost;
        }
        if (!isSuccess && m_sink.hasBegun())
            co_return lost(state, "failure of a resumed stream");
        if (isSuccess && route().kind == RequestKind::Stream)
            co_return co_await deliverStream(state, source);
        co_return co_await deliverBuffered(state, source);
    }
    co_return lost(state, "answers to other requests");
}

void Exchange::noteAnswer(const AttemptState& state, unsigned status)
{
    if (status / 100 == 5)
        m_engine.servers().recordFailure(*state.server, state.sentAt);
    else
        m_engine.servers().recordAnswer(*state.server, state.sentAt);
}

bool Exchange::mayRetryFailure(unsigned status)
{
    const bool isAllowed = status >= 500 && route().mayRunAgain() && m_sends + 1 < route().maxAttempts;
    if (!isAllowed || !takeRetry())
        return false;
    m_hasRetryGrant = true;
    return true;
}

Exchange::AttemptEnd Exchange::misdirected(AttemptState& state)
{
    state.chart.fire(AttemptEvent::NotRun);
    state.connection->close();
    state.server->recordUnreachable();
    m_lastError = { ErrorKind::EngineUnreachable, "another backend server has the address" };
    logEvent(Severity::Info, "misdirected", { { "request", m_facts.requestId }, { "server", state.server->description().id } });
    // The request has not been sent to the server that was meant, but the send counts against the budget.
    return takeRetry() ? AttemptEnd::NotSent : AttemptEnd::NotRun;
}

asio::awaitable<Exchange::AttemptEnd> Exchange::refusedByServer(AttemptState& state, AnswerSource& source)
{
    state.chart.fire(AttemptEvent::NotRun);
    m_lastError = { ErrorKind::EngineRefused, "the backend server did not take the request" };
    logEvent(Severity::Info, "not-run", { { "request", m_facts.requestId }, { "server", state.server->description().id }, { "status", source.reader().head().result_int() } });
    const bool isWhole = co_await source.discardRest();
    if (isWhole)
        release(state, source.reader());
    co_return AttemptEnd::NotRun;
}

Exchange::AttemptEnd Exchange::lost(AttemptState& state, std::string_view reason)
{
    state.connection->close();
    m_mayHaveRun = true;
    m_lastError = { ErrorKind::ServiceFailed, std::string(reason) };
    if (m_stop == Stop::None) {
        state.server->recordFailure();
        m_engine.servers().recordFailure(*state.server, state.sentAt);
        logEvent(Severity::Warning, "answer-lost", { { "request", m_facts.requestId }, { "server", state.server->description().id }, { "reason", reason } });
    }
    return AttemptEnd::Lost;
}

void Exchange::release(AttemptState& state, const AnswerReader& reader)
{
    auto& connection = state.connection;
    if (!connection->unread.empty())
        logEvent(Severity::Warning, "bytes-after-answer", { { "request", m_facts.requestId }, { "server", state.server->description().id } });
    const bool isReusable = reader.keepsConnection() && reader.framing() != BodyFraming::UntilClose && connection->unread.empty() && *state.isWritten && state.server->isInService();
    if (!isReusable) {
        connection->close();
        return;
    }
    connection->keepAlive = keepAliveTime(reader.head());
    state.server->pool().giveBack(connection);
}

asio::awaitable<Exchange::AttemptEnd> Exchange::deliverBuffered(AttemptState& state, AnswerSource& source)
{
    auto& reader = source.reader();
    std::string body = reader.takeBody();
    while (!reader.isDone() && body.size() <= maxBufferedAnswer) {
        const bool isOpen = co_await source.readMore();
        if (!isOpen)
            co_return lost(state, "connection lost within the answer");
        body += reader.takeBody();
    }
    state.server->recordSuccess();
    HttpResponseHead head = reader.head();
    removeConnectionFields(head);
    const auto length = reader.isDone() ? std::optional<uint64_t>(reader.framing() == BodyFraming::Length ? reader.contentLength().value_or(body.size()) : body.size()) : reader.contentLength();
    co_await m_sink.begin(head, length);
    bool isTaken = co_await m_sink.write(body);
    while (isTaken && !reader.isDone()) {
        const bool isOpen = co_await source.readMore();
        if (!isOpen) {
            lost(state, "connection lost within a long answer");
            co_return AttemptEnd::Ended;
        }
        isTaken = co_await m_sink.write(reader.takeBody());
    }
    if (isTaken) {
        co_await m_sink.end();
        countOutcome(&TrafficCounts::answered);
        m_engine.recordServiceTime(m_admitted.service, m_engine.clock().now() - state.sentAt);
    }
    state.chart.fire(AttemptEvent::Finish);
    if (reader.isDone())
        release(state, reader);
    else
        state.connection->close();
    co_return isTaken ? AttemptEnd::Delivered : AttemptEnd::Ended;
}

asio::awaitable<Exchange::AttemptEnd> Exchange::deliverStream(AttemptState& state, AnswerSource& source)
{
    auto& reader = source.reader();
    state.chart.fire(AttemptEvent::Event);
    if (!m_sink.hasBegun()) {
        HttpResponseHead head = reader.head();
        removeConnectionFields(head);
        co_await m_sink.begin(head, std::nullopt);
    }
    const bool isResumable = route().isResumable;
    while (true) {
        auto bytes = reader.takeBody();
        if (isResumable)
            bytes = m_events.feed(bytes);
        bool isTaken = !m_sink.isCallerGone();
        if (!bytes.empty())
            isTaken = co_await m_sink.write(bytes);
        if (!isTaken) {
            state.connection->close();
            co_return AttemptEnd::Ended;
        }
        if (reader.isDone())
            break;
        const bool isOpen = co_await source.readMore();
        if (!isOpen) {
            m_events.dropPartialEvent();
            co_return lost(state, "connection lost within a stream");
        }
    }
    if (m_events.hasPartialEvent())
        co_await m_sink.write(m_events.takePartial());
    co_await m_sink.end();
    state.chart.fire(AttemptEvent::Finish);
    state.server->recordSuccess();
    release(state, reader);
    countOutcome(&TrafficCounts::answered);
    co_return AttemptEnd::Delivered;
}

void Exchange::logOutcome(Severity severity, std::string_view event, std::string_view outcome, std::string_view detail) const
{
    if (isLogged(severity))
        m_record.log(severity, event, outcome, detail, m_engine, m_admitted);
}

asio::awaitable<void> Exchange::conclude(Error failure)
{
    if (m_stop == Stop::CallerLeft || m_sink.isCallerGone()) {
        countOutcome(&TrafficCounts::callersGone);
        logOutcome(Severity::Info, "caller-left", "cancelled", m_lastError.detail);
        co_return;
    }
    if (m_stop == Stop::DeadlinePassed)
        failure = { m_mayHaveRun ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineBeforeStart, "the time limit has passed" };
    if (m_sink.hasBegun()) {
        countOutcome(&TrafficCounts::failed);
        logOutcome(Severity::Warning, "broken-off", errorTraits(failure.kind).name, failure.detail);
        m_sink.abort();
        co_return;
    }
    if (m_mayHaveRun && !failure.mayHaveRun())
        failure = { ErrorKind::ServiceFailed, failure.detail };
    BORAGESLIP_INVARIANT(!m_mayHaveRun || failure.mayHaveRun(), "I3", "a request that may have run is refused as not run");
    countOutcome(failure.mayHaveRun() ? &TrafficCounts::failed : &TrafficCounts::refused);
    if (!failure.mayHaveRun() && failure.isRetryable())
        failure.retryAfter = m_engine.retryAfter(m_admitted.route != nullptr ? timeLeft() : m_facts.timeLeft.value_or(milliseconds(0)));
    logOutcome(Severity::Warning, "refused", errorTraits(failure.kind).name, failure.detail);
    co_await m_sink.refuse(failure);
}

}
