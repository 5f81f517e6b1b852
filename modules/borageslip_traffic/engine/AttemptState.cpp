#include "AttemptState.h"

#include <borageslip_core/logging/Log.h>

#include <utility>

namespace borageslip::detail {

AttemptResult AttemptState::handleLostResponse(std::string_view reason)
{
    connection->close();
    context.mayHaveRun = true;
    context.lastError = { ErrorKind::ServiceFailed, std::string(reason) };
    if (!context.isStopped()) {
        server->recordFailure();
        context.engine.servers().recordFailure(*server, sentAt);
        logEvent(Severity::Warning, "answer-lost", { { "request", context.metadata.requestId }, { "server", server->description().id }, { "reason", reason } });
    }
    return AttemptResult::Lost;
}

AttemptResult AttemptState::handleLostConnection(std::string_view reason)
{
    isConnectionLost = true;
    return handleLostResponse(reason);
}

void AttemptState::releaseConnection(const ResponseReader& reader)
{
    if (!connection->receiveBuffer.empty())
        logEvent(Severity::Warning, "bytes-after-answer", { { "request", context.metadata.requestId }, { "server", server->description().id } });
    const bool isReusable = reader.keepsConnection() && reader.framing() != BodyFraming::UntilClose && connection->receiveBuffer.empty() && write->isWritten && server->isInService();
    if (!isReusable) {
        connection->close();
        return;
    }
    connection->keepAlive = keepAliveTime(reader.head());
    server->pool().returnConnection(connection);
}

void AttemptState::recordProgress()
{
    constexpr size_t eventsOfProgress = 2; // Of the attempt. A crash may come right after the first event.
    const auto events = context.events.eventCount() - earlierEvents;
    if (events > 0 && bodyBegunAt == TimePoint())
        bodyBegunAt = context.engine.clock().now();
    if (events < eventsOfProgress || std::exchange(hasProgressed, true) || !context.engine.quarantine().hasSuspects())
        return;
    context.engine.recordProgress(suspectFingerprints(context.metadata, context.request), bodyBegunAt);
}

void AttemptState::recordCompletion()
{
    if (bodyBegunAt == TimePoint() || !context.engine.quarantine().hasSuspects())
        return;
    if (!std::exchange(hasProgressed, true))
        context.engine.recordProgress(suspectFingerprints(context.metadata, context.request), bodyBegunAt);
    context.engine.recordProgress(context.interruptedFingerprints(), bodyBegunAt);
}

}
