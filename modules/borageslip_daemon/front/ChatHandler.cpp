#include "ChatHandler.h"

#include "CallerConnection.h"

namespace borageslip {

namespace {

    // A disconnect of the caller is detected within this time even while the engine sends nothing.
    constexpr std::chrono::milliseconds disconnectCheckInterval { 500 };

    std::string_view chunkWithUsage(std::string_view chunk)
    {
        return chunk.find("\"usage\"") == std::string_view::npos ? std::string_view() : chunk;
    }

}

/** Metrics, objectives and trace of one chat call, from its arrival to its end. */
class ChatHandler::Call {
public:
    explicit Call(ChatHandler& handler)
        : m_handler(handler)
        , m_inProgress(handler.m_metrics)
    {
    }

    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    CallContext context;

    /** Starts the objective meter and the trace of the call, once its account is known. */
    void begin(const ModelId& model, ChatKey chat, int priority)
    {
        m_trace.emplace(m_handler.m_traces, m_handler.m_clock, context.receivedAt);
        m_trace->identified(context.request, context.account, model, chat, priority);
        m_meter.emplace(m_handler.m_objectives, m_handler.m_metrics, ObjectiveCaller { "chat", context.account, priority }, context.receivedAt);
    }

    RouteListener& trace() { return *m_trace; }

    void admitted(const RoutedChat& chat)
    {
        m_meter->setEngine(chat.engine());
        m_workClass = chat.workClass();
    }

    void chunk(std::string_view json)
    {
        const auto now = m_handler.m_clock.now();
        if (!m_lastTokenAt)
            m_handler.m_metrics.firstToken(now - context.receivedAt);
        else
            m_handler.m_metrics.betweenTokens(now - *m_lastTokenAt);
        m_lastTokenAt = now;
        m_meter->token(now);
        m_trace->firstToken();
        if (const auto text = chunkWithUsage(json); !text.empty())
            recordPromptTokens(nlohmann::json::parse(text, nullptr, false));
    }

    void ended(const std::optional<Error>& failure)
    {
        const auto kind = failure ? std::optional(failure->kind) : std::nullopt;
        m_handler.m_metrics.callEnded({ "chat", m_workClass, kind });
        if (m_meter)
            m_meter->ended(kind, m_handler.m_clock.now());
        if (m_trace)
            m_trace->ended(failure);
    }

private:
    void recordPromptTokens(const nlohmann::json& chunk)
    {
        const auto usage = chunk.value("usage", nlohmann::json());
        if (!usage.is_object())
            return;
        const auto details = usage.value("prompt_tokens_details", nlohmann::json::object());
        m_handler.m_metrics.promptTokens(usage.value("prompt_tokens", 0U), details.is_object() ? details.value("cached_tokens", 0U) : 0U);
    }

    ChatHandler& m_handler;
    const CallInProgress m_inProgress;
    std::string m_workClass = "none";
    std::optional<ObjectiveMeter> m_meter;
    std::optional<TraceRecorder> m_trace;
    std::optional<TimePoint> m_lastTokenAt;
};

/** Writes the chunks of a routed chat as server-sent events. */
class ChatHandler::StreamWriter {
public:
    StreamWriter(std::unique_ptr<Call> call, std::shared_ptr<RoutedChat> chat)
        : m_call(std::move(call))
        , m_chat(std::move(chat))
    {
    }

    ~StreamWriter() { m_call->ended(m_failure); }

    StreamWriter(const StreamWriter&) = delete;
    StreamWriter& operator=(const StreamWriter&) = delete;

    bool write(httplib::DataSink& sink)
    {
        auto next = m_chat->next(disconnectCheckInterval);
        if (next.chunk) {
            m_call->chunk(*next.chunk);
            return send(sink, "data: " + *next.chunk + "\n\n");
        }
        if (!next.isEnd)
            return sink.is_writable();
        m_failure = next.failure;
        const bool isWritten = next.failure ? send(sink, "event: error\ndata: " + problemDetails(*next.failure, m_call->context.request.text()) + "\n\n")
                                            : send(sink, "data: [DONE]\n\n");
        sink.done();
        return isWritten;
    }

private:
    static bool send(httplib::DataSink& sink, const std::string& text) { return sink.write(text.data(), text.size()); }

    const std::unique_ptr<Call> m_call; ///< Declared before m_chat, which uses the call's trace.
    const std::shared_ptr<RoutedChat> m_chat;
    std::optional<Error> m_failure = Error { ErrorKind::Cancelled, "the caller disconnected" };
};

ChatHandler::ChatHandler(const Clock& clock, const CallGate& gate, const FleetViewHolder& fleet, ChatRouter& router, AccountLimits& limits, Metrics& metrics, ObjectiveTracker& objectives, TraceTable& traces, std::chrono::milliseconds requestDeadline)
    : m_clock(clock)
    , m_gate(gate)
    , m_fleet(fleet)
    , m_router(router)
    , m_limits(limits)
    , m_metrics(metrics)
    , m_objectives(objectives)
    , m_traces(traces)
    , m_requestDeadline(requestDeadline)
{
}

void ChatHandler::registerRoutes(httplib::Server& server)
{
    server.Post("/v1/chat/completions", [this](const httplib::Request& request, httplib::Response& response) { handleChat(request, response); });
    server.Get("/v1/models", [this](const httplib::Request& request, httplib::Response& response) { handleModels(request, response); });
}

void ChatHandler::handleModels(const httplib::Request& request, httplib::Response& response)
{
    CallContext context;
    if (const auto refusal = openCall(request, m_gate, m_fleet, m_clock, context))
        return respondWithError(response, *refusal, context.request.text());
    auto models = nlohmann::json::array();
    for (const auto& [id, model] : context.fleet->configuration().models())
        models.push_back({ { "id", id.text() }, { "object", "model" }, { "owned_by", "borageslip" } });
    response.set_content(nlohmann::json { { "object", "list" }, { "data", models } }.dump(), "application/json");
}

void ChatHandler::handleChat(const httplib::Request& request, httplib::Response& response)
{
    auto call = std::make_unique<Call>(*this);
    auto& context = call->context;
    if (const auto refusal = openCall(request, m_gate, m_fleet, m_clock, context))
        return fail(*call, *refusal, response);
    response.set_header("X-Request-Id", context.request.text());
    const auto chatRequest = ChatRequest::parse(request.body, request.get_header_value("X-Chat-Key"));
    if (!isOk(chatRequest))
        return fail(*call, error(chatRequest), response);
    // Each request without a chat key is treated as a separate chat.
    const auto& chatKey = value(chatRequest).chatKey;
    const auto chatHash = ChatKey::of(context.account, chatKey.empty() ? context.request.text() : chatKey);
    const int priority = value(chatRequest).priority.value_or(context.accountSettings->defaultPriority);
    call->begin(value(chatRequest).model, chatHash, priority);
    if (const auto limited = m_limits.acquire(context.account, *context.accountSettings); !isOk(limited))
        return fail(*call, error(limited), response);
    AdmissionQuery query;
    query.request = context.request;
    query.account = context.account;
    query.chat = chatHash;
    query.priority = priority;
    auto chat = open(request, *call, std::move(query), value(chatRequest));
    if (!isOk(chat))
        return fail(*call, error(chat), response);
    call->admitted(*value(chat));
    response.set_header("X-Engine", value(chat)->engine().text());
    if (value(chatRequest).isStream)
        sendStream(std::move(call), value(std::move(chat)), response);
    else
        sendFullResponse(request, *call, *value(chat), response);
}

Result<std::unique_ptr<RoutedChat>> ChatHandler::open(const httplib::Request& request, Call& observed, AdmissionQuery query, const ChatRequest& chat)
{
    ChatCall call;
    call.query = std::move(query);
    call.query.model = chat.model;
    call.query.maxTokens = chat.maxTokens;
    call.query.promptTokens = chat.promptTokens;
    call.query.deadline = observed.context.receivedAt + m_requestDeadline;
    call.body = request.body;
    call.listener = &observed.trace();
    return m_router.open(std::move(call));
}

void ChatHandler::sendFullResponse(const httplib::Request& request, Call& call, RoutedChat& chat, httplib::Response& response)
{
    AnswerAssembler assembler(call.context.request.text());
    std::optional<CallerConnection> connection; // Looked up only for responses that take long.
    auto nextCheck = m_clock.now() + disconnectCheckInterval;
    while (true) {
        if (const auto now = m_clock.now(); now >= nextCheck) {
            nextCheck = now + disconnectCheckInterval;
            if (!connection)
                connection.emplace(request);
            // Returning destroys the chat, which cancels its run at the engine.
            if (connection->isClosed())
                return fail(call, { ErrorKind::Cancelled, "the caller closed the connection" }, response);
        }
        const auto next = chat.next(disconnectCheckInterval);
        if (next.chunk) {
            call.chunk(*next.chunk);
            const auto chunk = parseStreamChunk(*next.chunk);
            if (!isOk(chunk))
                return fail(call, error(chunk), response);
            if (const auto added = assembler.add(value(chunk)); !isOk(added))
                return fail(call, error(added), response);
            continue;
        }
        if (!next.isEnd)
            continue;
        if (next.failure)
            return fail(call, *next.failure, response);
        const auto completion = assembler.finish();
        if (!isOk(completion))
            return fail(call, error(completion), response);
        call.ended(std::nullopt);
        return response.set_content(value(completion).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
    }
}

void ChatHandler::sendStream(std::unique_ptr<Call> call, std::shared_ptr<RoutedChat> chat, httplib::Response& response)
{
    auto writer = std::make_shared<StreamWriter>(std::move(call), std::move(chat));
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider("text/event-stream", [writer](size_t, httplib::DataSink& sink) { return writer->write(sink); });
}

void ChatHandler::fail(Call& call, const Error& error, httplib::Response& response)
{
    call.ended(error);
    logEvent(Severity::Debug, "call-failed", { { "request", call.context.request.text() }, { "account", call.context.account.text() }, { "kind", errorTraits(error.kind).name }, { "detail", error.detail } });
    respondWithError(response, error, call.context.request.text());
}

}
