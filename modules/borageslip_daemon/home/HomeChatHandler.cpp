#include "HomeChatHandler.h"

#include "../settings/DaemonSettings.h"
#include "ChatFrames.h"

#include <stop_token>

namespace borageslip {

namespace {

    void sendError(InnerResponder& responder, const Error& error, const RequestId& request)
    {
        const auto& traits = errorTraits(error.kind);
        InnerHeaders headers { { "x-decision", "refuse" }, { "content-type", "application/problem+json" } };
        if (error.retryAfter)
            headers["x-retry-after-ms"] = std::to_string(error.retryAfter->count());
        responder.respond(traits.httpStatus, std::move(headers), problemDetails(error, request.text()));
    }

    /** Classifies the result of a run for the EngineEjector. Cancellations and missed deadlines do not count against the
        engine. */
    AttemptOutcome::Kind outcomeOf(const AttemptResult& end)
    {
        if (!end.error)
            return AttemptOutcome::Kind::FirstToken;
        switch (end.error->kind) {
        case ErrorKind::Cancelled:
        case ErrorKind::DeadlineBeforeStart:
        case ErrorKind::DeadlineExceeded:
            return AttemptOutcome::Kind::CallerAborted;
        default:
            return AttemptOutcome::Kind::EngineFailure;
        }
    }

}

/** Writes each chunk of the engine's response as a frame and passes the engine's running count to the home. */
class HomeChatHandler::FrameWriter final : public EngineStreamListener {
public:
    FrameWriter(InnerResponder& responder, const HomeClient& home, const EngineId& engine)
        : m_responder(responder)
        , m_home(home)
        , m_engine(engine)
    {
    }

    StreamFlow headersReceived(std::optional<int> runningCount) override
    {
        if (runningCount)
            m_home.setReportedRunning(m_engine, *runningCount);
        return m_responder.isCancelled() ? StreamFlow::Stop : StreamFlow::Continue;
    }

    StreamFlow chunkReceived(const StreamChunk& chunk) override
    {
        const auto json = chunk.body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        ++m_chunks;
        return m_responder.write(encodeFrame(ChunkFrame { chunk.offset, chunk.tokens, json })) ? StreamFlow::Continue : StreamFlow::Stop;
    }

    // After a connection loss, for example because this home was paused, the entry resumes the run through another home.
    bool shouldContinueAfterStop() const override { return m_responder.isConnectionLost(); }

    uint64_t chunks() const { return m_chunks; }

private:
    InnerResponder& m_responder;
    const HomeClient& m_home;
    const EngineId& m_engine;
    uint64_t m_chunks = 0;
};

HomeChatHandler::HomeChatHandler(const Clock& clock, const HomeClient& home, Metrics& metrics)
    : m_clock(clock)
    , m_home(home)
    , m_metrics(metrics)
{
}

void HomeChatHandler::run(InnerRequest request, InnerResponder& responder, std::chrono::milliseconds livenessTimeout) const
{
    const auto receivedAt = m_clock.now();
    auto parsed = ChatCall::fromInnerRequest(std::move(request), receivedAt);
    if (!isOk(parsed))
        return sendError(responder, error(parsed), RequestId());
    const ChatCall call = value(std::move(parsed));
    const auto remainingTime = std::chrono::duration_cast<std::chrono::milliseconds>(call.query.deadline - receivedAt);
    const auto reply = m_home.admit(call.query, std::max(remainingTime, std::chrono::milliseconds(0)));
    m_metrics.queueWait(m_clock.now() - receivedAt);
    if (const auto* refusal = std::get_if<Error>(&reply))
        return sendError(responder, *refusal, call.query.request);
    if (const auto* redirected = std::get_if<Redirected>(&reply)) {
        m_metrics.redirected(redirected->reason);
        return responder.respond(503, { { "x-decision", "redirect" }, { "x-reason", redirected->reason }, { "x-preferred", std::to_string(redirected->preferred) }, { "x-busy", redirected->isBusy ? "1" : "0" } }, "");
    }
    const auto& admitted = std::get<Admitted>(reply);
    auto body = nlohmann::json::parse(call.body, nullptr, false);
    std::stop_source cancellation;
    responder.onCancelled([cancellation]() mutable { cancellation.request_stop(); });
    responder.start(200, { { "x-decision", "admit" }, { "x-engine", admitted.engine.text() }, { "x-class", std::string(workClassName(admitted.workClass)) } });
    const auto address = Endpoint::parse(admitted.address);
    EngineRequest engineRequest;
    engineRequest.host = address.host;
    engineRequest.port = address.port;
    engineRequest.id = call.query.request;
    engineRequest.body = std::move(body);
    engineRequest.priority = call.query.priority;
    engineRequest.resumeOffset = call.resumeOffset;
    engineRequest.cancellation = cancellation.get_token();
    EngineClient::Settings settings;
    settings.livenessTimeout = livenessTimeout;
    FrameWriter writer(responder, m_home, admitted.engine);
    const auto startedAt = m_clock.now();
    const auto end = EngineClient(m_clock, settings).run(engineRequest, writer);
    report(call, admitted, end, startedAt);
    EndFrame frame;
    frame.chunks = writer.chunks();
    frame.failure = end.error;
    if (responder.write(encodeFrame(frame)))
        responder.finish();
    else
        responder.abort();
}

void HomeChatHandler::report(const ChatCall& call, const Admitted& admitted, const AttemptResult& end, TimePoint startedAt) const
{
    RunReport run;
    run.request = call.query.request;
    run.engine = admitted.engine;
    run.account = call.query.account;
    run.chat = call.query.chat;
    run.workClass = admitted.workClass;
    run.priority = call.query.priority;
    run.maxTokens = call.query.maxTokens;
    run.promptTokens = call.query.promptTokens;
    run.runDuration = m_clock.now() - startedAt;
    run.timeToFirstToken = end.timeToFirstToken;
    run.outcome = outcomeOf(end);
    run.startedAt = startedAt;
    m_home.finish(run);
    m_metrics.attemptEnded(end);
    if (end.error)
        logEvent(Severity::Info, "attempt-failed", { { "request", call.query.request.text() }, { "engine", admitted.engine.text() }, { "kind", errorTraits(end.error->kind).name }, { "detail", end.error->detail }, { "tokens", end.deliveredTokens }, { "resumes", end.resumes } });
}

}
