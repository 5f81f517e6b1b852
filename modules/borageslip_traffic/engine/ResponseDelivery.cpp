#include "ResponseDelivery.h"

#include <optional>

namespace borageslip::detail {

namespace asio = boost::asio;

namespace {

    constexpr size_t maxBufferedResponseBytes = 256 * 1024; ///< A longer response is forwarded while it is still arriving.
    constexpr size_t maxPartialEventBytes = 256 * 1024; ///< Of a stream event that is still arriving.

}

ResponseDelivery::ResponseDelivery(ExchangeContext& context, AttemptState& state, ResponseSource& source)
    : m_context(context)
    , m_state(state)
    , m_source(source)
{
}

asio::awaitable<AttemptResult> ResponseDelivery::deliverBuffered()
{
    auto& reader = m_source.reader();
    std::string body = reader.takeBody();
    while (!reader.isDone() && body.size() <= maxBufferedResponseBytes) {
        const bool isOpen = co_await m_source.readMore(body.size());
        if (!isOpen)
            co_return m_state.handleLostConnection("connection lost within the response body");
        body += reader.takeBody();
    }
    m_state.server->recordSuccess();
    const bool isSuccess = reader.head().result_int() / 100 == 2;
    if (isSuccess)
        m_state.bodyBegunAt = m_context.engine.clock().now();
    HttpResponseHead head = reader.head();
    removeHopByHopFields(head);
    const auto length = reader.isDone() ? std::optional<uint64_t>(reader.framing() == BodyFraming::Length ? reader.contentLength().value_or(body.size()) : body.size()) : reader.contentLength();
    co_await m_context.sink.begin(head, length);
    bool isTaken = co_await m_context.sink.write(body);
    while (isTaken && !reader.isDone()) {
        const bool isOpen = co_await m_source.readMore();
        if (!isOpen) {
            m_state.handleLostResponse("connection lost within a long response body");
            co_return AttemptResult::Aborted;
        }
        isTaken = co_await m_context.sink.write(reader.takeBody());
    }
    if (isSuccess && reader.isDone())
        m_state.recordCompletion();
    if (isTaken) {
        co_await m_context.sink.end();
        m_context.countOutcome(&TrafficCounts::answered);
        m_context.engine.recordServiceTime(m_context.admitted.service, m_context.engine.clock().now() - m_state.sentAt);
    }
    m_state.attempt.fire(AttemptEvent::Finish);
    if (reader.isDone())
        m_state.releaseConnection(reader);
    else
        m_state.connection->close();
    co_return isTaken ? AttemptResult::Delivered : AttemptResult::Aborted;
}

asio::awaitable<AttemptResult> ResponseDelivery::deliverStream()
{
    auto& reader = m_source.reader();
    m_state.attempt.fire(AttemptEvent::Event);
    if (!m_context.sink.hasBegun()) {
        HttpResponseHead head = reader.head();
        removeHopByHopFields(head);
        co_await m_context.sink.begin(head, std::nullopt);
    }
    const auto bodyType = streamBodyType(reader.head());
    while (true) {
        auto bytes = reader.takeBody();
        if (bodyType != StreamBodyType::Other) {
            bytes = m_context.events.feed(bytes);
            m_state.recordProgress();
        }
        if (m_context.events.partialEventBytes() > maxPartialEventBytes) {
            m_context.events.dropPartialEvent();
            co_return m_state.handleLostResponse("the stream has an event that is too long");
        }
        bool isTaken = !m_context.sink.isCallerDisconnected();
        if (!bytes.empty())
            isTaken = co_await m_context.sink.write(bytes);
        if (!isTaken) {
            m_state.connection->close();
            co_return AttemptResult::Aborted;
        }
        if (reader.isDone())
            break;
        const bool isOpen = co_await m_source.readMore(m_context.events.partialEventBytes());
        if (!isOpen) {
            m_context.events.dropPartialEvent();
            co_return m_state.handleLostConnection("connection lost within a stream");
        }
    }
    if (m_context.events.partialEventBytes() > 0) {
        // A body of an unknown type that has no event and ends as its framing says is complete.
        const bool hasEvents = bodyType == StreamBodyType::Events || m_context.events.eventCount() > m_state.earlierEvents;
        if (hasEvents || reader.framing() == BodyFraming::UntilClose) {
            m_context.events.dropPartialEvent();
            co_return m_state.handleLostResponse("the stream ended within an event");
        }
        co_await m_context.sink.write(m_context.events.takePartialEvent());
    }
    co_await m_context.sink.end();
    m_state.attempt.fire(AttemptEvent::Finish);
    m_state.server->recordSuccess();
    m_state.recordCompletion();
    m_state.releaseConnection(reader);
    m_context.countOutcome(&TrafficCounts::answered);
    co_return AttemptResult::Delivered;
}

}
