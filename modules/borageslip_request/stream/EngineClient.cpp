#include "EngineClient.h"

#include <algorithm>
#include <charconv>
#include <httplib.h>

namespace borageslip {

namespace {

    constexpr std::string_view endOfStream = "[DONE]";
    constexpr size_t maxErrorBodyBytes = 512;

    std::optional<int> runningCount(const httplib::Response& response)
    {
        const auto text = response.get_header_value("X-Engine-Running");
        int count = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), count);
        if (parsed.ec != std::errc {} || count < 0)
            return std::nullopt;
        return count;
    }

    bool isConnectFailure(httplib::Error error)
    {
        return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    }

}

/** The state of one run() call, across all of its connections. */
class EngineClient::Run {
public:
    Run(const EngineClient& client, const EngineRequest& request, Listener& listener)
        : m_client(client)
        , m_clock(*client.m_clock)
        , m_request(request)
        , m_listener(listener)
        , m_startedAt(m_clock.now())
        , m_mayHaveRun(request.resumeOffset > 0)
        , m_lastEventAt(m_startedAt)
    {
        m_result.deliveredTokens = request.resumeOffset;
    }

    AttemptResult execute()
    {
        while (connectOnce() == Step::Resume) {
            if (m_result.resumes >= m_client.m_settings.maxResumes) {
                fail(*m_lastConnectionError);
                break;
            }
            ++m_result.resumes;
        }
        // Frees the engine's slot if the run may still be in progress.
        if (m_result.error && !m_result.isCertainlyNotRun && m_mayHaveRun && !m_listener.shouldContinueAfterStop())
            static_cast<void>(m_client.cancel(m_request));
        return std::move(m_result);
    }

private:
    enum class Step {
        End,
        Resume,
    };

    Step fail(Error error)
    {
        // The request is certainly not run only if no earlier connection may have started it.
        m_result.isCertainlyNotRun = !m_mayHaveRun;
        m_result.error = std::move(error);
        return Step::End;
    }

    Step resumeAfter(Error error)
    {
        m_lastConnectionError = std::move(error);
        return Step::Resume;
    }

    std::chrono::milliseconds remainingTime() const
    {
        if (m_request.deadline == TimePoint::max())
            return std::chrono::milliseconds::max();
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_request.deadline - m_clock.now());
    }

    Step failDeadline()
    {
        return fail({ m_mayHaveRun ? ErrorKind::DeadlineExceeded : ErrorKind::DeadlineBeforeStart, "the deadline passed" });
    }

    httplib::Request httpRequest()
    {
        auto body = m_request.body;
        body["stream"] = true;
        httplib::Request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        request.set_header("Content-Type", "application/json");
        request.set_header("Accept", "text/event-stream");
        request.set_header("X-Request-Id", m_request.id.text());
        request.set_header("X-Priority", std::to_string(m_request.priority));
        if (m_result.deliveredTokens > 0 || m_mayHaveRun)
            request.set_header("X-Resume-Offset", std::to_string(m_result.deliveredTokens));
        request.response_handler = [this](const httplib::Response& response) { return receiveHeaders(response) == StreamFlow::Continue; };
        request.content_receiver = [this](const char* data, size_t length, uint64_t, uint64_t) {
            return receiveBytes({ data, length }) == StreamFlow::Continue;
        };
        return request;
    }

    Step connectOnce()
    {
        if (m_request.cancellation.stop_requested())
            return fail({ ErrorKind::Cancelled, "cancelled by the caller" });
        const auto remaining = remainingTime();
        if (remaining <= std::chrono::milliseconds::zero())
            return failDeadline();

        m_parser.emplace(m_client.m_settings.maxEventBytes);
        m_status = 0;
        m_saysNotRun = false;
        m_isDone = false;
        m_runError.reset();
        m_connectionError.reset();
        m_errorBody.clear();
        m_lastEventAt = m_clock.now();

        httplib::Client client(m_request.host, m_request.port);
        client.set_connection_timeout(std::min(m_client.m_settings.connectTimeout, remaining));
        client.set_read_timeout(std::min(m_client.m_settings.livenessTimeout, remaining));
        client.set_write_timeout(std::min(m_client.m_settings.livenessTimeout, remaining));
        client.set_keep_alive(false);
        client.set_tcp_nodelay(true);
        client.set_decompress(false);

        auto request = httpRequest();
        httplib::Response response;
        auto httpError = httplib::Error::Success;
        {
            const std::stop_callback onCancel(m_request.cancellation, [&client] { client.stop(); });
            client.send(request, response, httpError);
        }
        return classify(httpError);
    }

    Step classify(httplib::Error httpError)
    {
        if (m_isDone)
            return Step::End;
        if (isConnectFailure(httpError)) {
            const Error unreachable { ErrorKind::EngineUnreachable, "cannot connect to " + m_request.host + ":" + std::to_string(m_request.port) };
            return m_mayHaveRun ? resumeAfter({ ErrorKind::EngineFailed, unreachable.detail + " to resume" }) : fail(unreachable);
        }
        if (m_status == 503 && m_saysNotRun && !m_mayHaveRun) {
            m_result.engineStatus = m_status;
            return fail({ ErrorKind::EngineRefused, "the engine refused the request and reported it as not run" });
        }
        m_mayHaveRun = true;
        if (m_runError)
            return fail(*m_runError);
        if (m_request.cancellation.stop_requested())
            return fail({ ErrorKind::Cancelled, "cancelled by the caller" });
        if (remainingTime() <= std::chrono::milliseconds::zero())
            return failDeadline();
        if (m_status != 0 && m_status != 200) {
            m_result.engineStatus = m_status;
            return fail({ ErrorKind::EngineFailed, "the engine answered with status " + std::to_string(m_status) + ": " + m_errorBody });
        }
        if (m_connectionError)
            return resumeAfter(*m_connectionError);
        if (isSilent())
            return resumeAfter({ ErrorKind::ConnectionSilent, "no event from the engine within the liveness timeout" });
        return resumeAfter({ ErrorKind::EngineFailed, "the connection to the engine closed before the answer was complete" });
    }

    bool isSilent() const { return m_clock.now() - m_lastEventAt >= m_client.m_settings.livenessTimeout; }

    StreamFlow receiveHeaders(const httplib::Response& response)
    {
        m_status = response.status;
        m_saysNotRun = response.get_header_value("X-Not-Run") == "true";
        if (m_status != 200)
            return StreamFlow::Continue;
        m_mayHaveRun = true;
        m_lastEventAt = m_clock.now();
        if (m_listener.headersReceived(runningCount(response)) == StreamFlow::Stop)
            return stopByListener();
        return StreamFlow::Continue;
    }

    StreamFlow receiveBytes(std::string_view bytes)
    {
        if (m_status != 200) {
            m_errorBody.append(bytes.substr(0, maxErrorBodyBytes - std::min(maxErrorBodyBytes, m_errorBody.size())));
            return StreamFlow::Continue;
        }
        auto flow = StreamFlow::Continue;
        const auto parsed = m_parser->feed(bytes, [&](std::string_view data) { return flow = receiveEvent(data); });
        if (!isOk(parsed)) {
            m_runError = error(parsed);
            return StreamFlow::Stop;
        }
        if (flow == StreamFlow::Stop)
            return flow;
        // Covers an engine that sends bytes but no events of this run, so that no read timeout occurs.
        if (isSilent() || m_request.cancellation.stop_requested() || remainingTime() <= std::chrono::milliseconds::zero())
            return StreamFlow::Stop;
        return StreamFlow::Continue;
    }

    StreamFlow receiveEvent(std::string_view data)
    {
        if (data == endOfStream) {
            m_isDone = m_hasLastChunk;
            return StreamFlow::Stop;
        }
        const auto parsed = parseStreamChunk(data);
        if (!isOk(parsed)) {
            m_runError = error(parsed);
            return StreamFlow::Stop;
        }
        const auto& chunk = value(parsed);
        if (!isChunkOf(chunk, m_request.id.text())) {
            ++m_result.droppedChunks;
            return StreamFlow::Continue;
        }
        m_lastEventAt = m_clock.now();
        if (m_hasLastChunk || chunk.offset < m_result.deliveredTokens) {
            ++m_result.droppedChunks;
            return StreamFlow::Continue;
        }
        if (chunk.offset > m_result.deliveredTokens) {
            // The missing tokens will not arrive on this connection; resume to request them again.
            ++m_result.droppedChunks;
            m_connectionError = Error { ErrorKind::EngineFailed, "the engine skipped tokens of the answer" };
            return StreamFlow::Stop;
        }
        return acceptChunk(chunk);
    }

    StreamFlow acceptChunk(const StreamChunk& chunk)
    {
        const auto delivered = m_result.deliveredTokens + chunk.tokens;
        if (chunk.isLast && chunk.completionTokens != delivered) {
            m_runError = Error { ErrorKind::InvalidMessage, "the usage of the answer does not match its " + std::to_string(delivered) + " tokens" };
            return StreamFlow::Stop;
        }
        if (chunk.tokens > 0)
            recordTokenTime();
        m_result.deliveredTokens = delivered;
        m_hasLastChunk = chunk.isLast;
        if (m_listener.chunkReceived(chunk) == StreamFlow::Stop)
            return stopByListener();
        return StreamFlow::Continue;
    }

    void recordTokenTime()
    {
        const auto now = m_clock.now();
        if (!m_result.timeToFirstToken)
            m_result.timeToFirstToken = now - m_startedAt;
        else
            m_result.interTokenTimes.push_back(now - m_lastTokenAt);
        m_lastTokenAt = now;
    }

    StreamFlow stopByListener()
    {
        m_runError = Error { ErrorKind::Cancelled, "the receiver stopped the stream" };
        return StreamFlow::Stop;
    }

    const EngineClient& m_client;
    const Clock& m_clock;
    const EngineRequest& m_request;
    Listener& m_listener;
    AttemptResult m_result;
    const TimePoint m_startedAt;
    TimePoint m_lastTokenAt {};
    bool m_mayHaveRun; ///< A byte of the request may have reached the engine.
    bool m_hasLastChunk = false;
    std::optional<Error> m_lastConnectionError {};

    // State of the current connection.
    std::optional<SseParser> m_parser {};
    int m_status = 0;
    bool m_saysNotRun = false;
    bool m_isDone = false;
    std::optional<Error> m_runError {}; ///< Ends the run.
    std::optional<Error> m_connectionError {}; ///< Ends the connection only.
    std::string m_errorBody;
    TimePoint m_lastEventAt;
};

EngineClient::EngineClient(const Clock& clock, Settings settings)
    : m_clock(&clock)
    , m_settings(settings)
{
}

AttemptResult EngineClient::run(const EngineRequest& request, Listener& listener) const
{
    return Run(*this, request, listener).execute();
}

Status EngineClient::cancel(const EngineRequest& request) const
{
    httplib::Client client(request.host, request.port);
    // Connecting and reading get half of the timeout each, so that both together stay within it.
    client.set_connection_timeout(m_settings.cancelTimeout / 2);
    client.set_read_timeout(m_settings.cancelTimeout / 2);
    const auto answer = client.Delete("/v1/requests/" + request.id.text());
    if (!answer)
        return Error { isConnectFailure(answer.error()) ? ErrorKind::EngineUnreachable : ErrorKind::EngineFailed, "the engine did not answer the cancellation" };
    if (answer->status != 204 && answer->status != 404)
        return Error { ErrorKind::EngineFailed, "the engine answered the cancellation with status " + std::to_string(answer->status) };
    return ok();
}

}
