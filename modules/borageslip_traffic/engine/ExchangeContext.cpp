#include "ExchangeContext.h"

#include <algorithm>
#include <utility>

namespace borageslip::detail {

namespace {

    using std::chrono::milliseconds;

}

ExchangeContext::ExchangeContext(TrafficEngine& trafficEngine, ResponseSink& responseSink, HttpRequest httpRequest, TimePoint arrival)
    : engine(trafficEngine)
    , sink(responseSink)
    , request(std::move(httpRequest))
    , metadata(engine.protocol().requestMetadata(request))
    , arrivedAt(arrival)
    , receivedAt(engine.clock().now())
    , deadline(arrival)
    , deadlineTimer(engine.executor())
    , phaseBegunAt(arrival)
    , wakeEvent(engine.executor())
    , record(metadata.requestId, arrival)
{
}

void ExchangeContext::setPhase(RequestPhase next)
{
    phase = next;
    phaseBegunAt = engine.clock().now();
}

milliseconds ExchangeContext::timeLeft() const
{
    return std::max(milliseconds(0), toMilliseconds(deadline - engine.clock().now()));
}

void ExchangeContext::startDeadline()
{
    deadlineTimer.expires_after(timeLeft());
    deadlineTimer.async_wait([weak = weak_from_this()](boost::system::error_code failure) {
        const auto self = weak.lock();
        if (!failure && self)
            self->stop(StopReason::DeadlinePassed);
    });
}

void ExchangeContext::stop(StopReason reason)
{
    if (isStopped())
        return;
    stopReason = reason;
    if (activeConnection)
        activeConnection->close();
    wakeEvent.notify();
}

bool ExchangeContext::isQuarantined()
{
    if (!engine.quarantine().isActive())
        return false;
    std::optional<Duration> quarantineLeft;
    for (const auto& fingerprint : suspectFingerprints(metadata, request))
        quarantineLeft = std::max({ quarantineLeft, engine.quarantine().quarantineOf(fingerprint), engine.quarantine().quarantineOf(interruptedFingerprint(fingerprint)) });
    if (!quarantineLeft)
        return false;
    lastError = { ErrorKind::PromptQuarantined, "backend servers have crashed on this request or on parts of its prompt" };
    lastError.retryAfter = toMilliseconds(*quarantineLeft);
    return true;
}

bool ExchangeContext::isTooLateToStart()
{
    if (mayHaveRun || engine.mayStart(receivedAt, deadline))
        return false;
    lastError = { ErrorKind::Draining, "this instance is shutting down" };
    return true;
}

std::vector<PromptFingerprint> ExchangeContext::interruptedFingerprints() const
{
    auto fingerprints = suspectFingerprints(metadata, request);
    std::transform(fingerprints.begin(), fingerprints.end(), fingerprints.begin(), interruptedFingerprint);
    return fingerprints;
}

int64_t ExchangeContext::promptTokens() const
{
    return metadata.promptParts.empty() ? 0 : metadata.promptTokens;
}

void ExchangeContext::recordAbandoned(const BackendServer& server)
{
    ++engine.counts().evacuationAbandons;
    // Nothing was sent to the server, so that the request still waits for capacity like one without an attempt. Without an
    // active server, the attempt had not been recorded yet.
    if (activeServer)
        triedServers.pop_back();
    logEvent(Severity::Info, "attempt-abandoned", { { "request", metadata.requestId }, { "server", server.description().id } });
    // After an attempt that was sent, its failure says more.
    if (sendCount == 0)
        lastError = { ErrorKind::EngineUnreachable, "the failure domain of the backend server is evacuated" };
}

void ExchangeContext::countOutcome(uint64_t TrafficCounts::*counter)
{
    // The caller may disconnect while its response is being written, which reports a second outcome.
    if (!std::exchange(isOutcomeCounted, true))
        ++(engine.counts().*counter);
}

void ExchangeContext::recordWait(TimePoint since)
{
    const auto waited = engine.clock().now() - since;
    record.recordWait(waited);
    engine.counts().waits.record(waited);
}

bool ExchangeContext::tryAcquireRetry()
{
    const bool isAllowed = engine.retryBudget(admitted.service).tryRetry(engine.clock().now());
    if (!isAllowed)
        ++engine.counts().retriesDenied;
    return isAllowed;
}

void ExchangeContext::logOutcome(Severity severity, std::string_view event, std::string_view outcome, std::string_view detail) const
{
    if (isLogged(severity))
        record.log(severity, event, outcome, detail, engine, admitted);
}

}
