#include "EngineServer.h"

#include "common/ConnectionDrop.h"
#include "common/StandinProgram.h"

#include <algorithm>
#include <borageslip_history/borageslip_history.h>
#include <charconv>

namespace borageslip::standin {

namespace {

    using RunState = EngineSimulation::RunState;

    constexpr std::chrono::milliseconds pollTime { 250 };
    constexpr uint64_t defaultCompletionTokens = 64;
    constexpr uint64_t maxCompletionTokens = 100'000;
    // Approximate size of a token in the prompt text.
    constexpr size_t bytesPerToken = 4;
    // The size of an exported prefix is proportional to its tokens, so that a transfer has a realistic cost.
    constexpr size_t exportedBytesPerToken = 16;

    uint64_t parseNumber(std::string_view text, uint64_t fallback)
    {
        uint64_t number = 0;
        const auto end = text.data() + text.size();
        const auto [rest, failure] = std::from_chars(text.data(), end, number);
        return failure == std::errc {} && rest == end ? number : fallback;
    }

    uint64_t promptTokens(const nlohmann::json& body)
    {
        size_t bytes = 0;
        const auto messages = body.find("messages");
        if (messages != body.end() && messages->is_array()) {
            for (const auto& message : *messages) {
                const auto content = message.is_object() ? message.find("content") : message.end();
                if (content != message.end() && content->is_string())
                    bytes += content->get_ref<const std::string&>().size();
            }
        }
        return std::max<uint64_t>(1, bytes / bytesPerToken);
    }

    std::string stringMember(const nlohmann::json& object, const char* name)
    {
        const auto found = object.find(name);
        return found != object.end() && found->is_string() ? found->get<std::string>() : "";
    }

    uint64_t numberMember(const nlohmann::json& object, const char* name, uint64_t fallback)
    {
        const auto found = object.find(name);
        return found != object.end() && found->is_number_integer() && found->get<int64_t>() > 0 ? found->get<uint64_t>() : fallback;
    }

    // Prefers the seed in the caller's request body over the request id. The fleet may choose the request id, but the
    // seed in the body shows whether the response was generated for another caller's request.
    std::string answerSeed(const nlohmann::json& body, const std::string& requestId)
    {
        const auto metadata = body.find("metadata");
        const auto seed = metadata != body.end() && metadata->is_object() ? stringMember(*metadata, "answer_seed") : "";
        return seed.empty() ? requestId : seed;
    }

    nlohmann::json usage(const EngineSimulation::Submission& submission, uint64_t produced, uint64_t cachedTokens)
    {
        return {
            { "prompt_tokens", submission.promptTokens },
            { "completion_tokens", produced },
            { "total_tokens", submission.promptTokens + produced },
            { "prompt_tokens_details", { { "cached_tokens", cachedTokens } } },
        };
    }

    std::string chunk(const EngineSimulation::Submission& submission, uint64_t offset, std::string_view text)
    {
        const nlohmann::json body {
            { "id", "chatcmpl-" + submission.requestId },
            { "object", "chat.completion.chunk" },
            { "model", submission.model },
            { "offset", offset },
            { "choices", { { { "index", 0 }, { "delta", { { "content", text } } }, { "finish_reason", nullptr } } } },
        };
        return "data: " + body.dump() + "\n\n";
    }

    std::string lastChunks(const EngineSimulation::Submission& submission, uint64_t produced, uint64_t cachedTokens)
    {
        const nlohmann::json body {
            { "id", "chatcmpl-" + submission.requestId },
            { "object", "chat.completion.chunk" },
            { "model", submission.model },
            { "offset", produced },
            { "choices", { { { "index", 0 }, { "delta", nlohmann::json::object() }, { "finish_reason", "length" } } } },
            { "usage", usage(submission, produced, cachedTokens) },
        };
        return "data: " + body.dump() + "\n\ndata: [DONE]\n\n";
    }

}

EngineServer::EngineServer(EngineSimulation& simulation, httplib::Server& server)
    : m_simulation(simulation)
{
    server.Post("/v1/chat/completions", withFaults(&EngineServer::complete));
    server.Delete(R"(/v1/requests/(.+))", withFaults(&EngineServer::cancel));
    server.Get("/v1/load", withFaults(&EngineServer::load));
    server.Get("/v1/cache_events", withFaults(&EngineServer::cacheEvents));
    server.Post("/v1/orders", withFaults(&EngineServer::order));
    server.Get(R"(/v1/kv/(.+))", withFaults(&EngineServer::exportPrefix));
    server.Put(R"(/v1/kv/(.+))", withFaults(&EngineServer::importPrefix));
    server.Get("/records", [this](const httplib::Request&, httplib::Response& response) { respondWithJson(response, m_simulation.records()); });
    server.Delete("/records", [this](const httplib::Request&, httplib::Response& response) {
        m_simulation.clearRecords();
        response.status = 204;
    });
    server.Post("/control", [this](const httplib::Request& request, httplib::Response& response) {
        if (const auto changes = parseObject(request, response))
            respondWithJson(response, m_simulation.control(*changes));
    });
}

httplib::Server::Handler EngineServer::withFaults(Handler handler)
{
    return [this, handler](const httplib::Request& request, httplib::Response& response) {
        if (!injectFault(request, response))
            (this->*handler)(request, response);
    };
}

bool EngineServer::injectFault(const httplib::Request& request, httplib::Response& response)
{
    if (m_simulation.isUnreachable()) {
        dropConnection(request);
        return true;
    }
    const auto faults = m_simulation.faults();
    if (faults.isSilent) {
        while (m_simulation.faults().isSilent)
            std::this_thread::sleep_for(pollTime);
        dropConnection(request);
        return true;
    }
    response.set_header("X-Engine-Id", m_simulation.settings().engine);
    if (faults.isRefusing) {
        refuse(response, "refusing");
        return true;
    }
    return false;
}

bool EngineServer::isSilenced(uint64_t silenceEpoch) const
{
    const auto faults = m_simulation.faults();
    return faults.isSilent || faults.silenceEpoch != silenceEpoch;
}

void EngineServer::refuse(httplib::Response& response, const std::string& reason) const
{
    response.set_header("X-Not-Run", "true");
    response.set_header("X-Engine-Running", std::to_string(m_simulation.runsInProgress()));
    respondWithJson(response, { { "error", { { "message", reason }, { "type", "refused" } } } }, 503);
}

void EngineServer::complete(const httplib::Request& request, httplib::Response& response)
{
    const auto body = parseObject(request, response);
    if (!body)
        return;
    static std::atomic<uint64_t> s_generatedIds = 0;
    EngineSimulation::Submission submission;
    submission.requestId = request.get_header_value("X-Request-Id");
    if (submission.requestId.empty())
        submission.requestId = m_simulation.settings().engine + "-" + std::to_string(s_generatedIds++);
    submission.answerSeed = answerSeed(*body, submission.requestId);
    submission.chat = stringMember(*body, "prompt_cache_key");
    submission.model = stringMember(*body, "model");
    submission.priority = static_cast<int>(parseNumber(request.get_header_value("X-Priority"), 5));
    submission.promptTokens = promptTokens(*body);
    submission.completionTokens = std::min(numberMember(*body, "max_tokens", defaultCompletionTokens), maxCompletionTokens);
    const bool isResumption = request.has_header("X-Resume-Offset");
    const auto mode = isResumption ? EngineSimulation::Mode::Resume : EngineSimulation::Mode::Start;
    const auto submitted = m_simulation.submit(submission, mode);
    if (const auto* refusal = std::get_if<EngineSimulation::Refusal>(&submitted)) {
        refuse(response, refusal->reason);
        if (isResumption)
            response.status = 404;
        return;
    }
    const auto& run = std::get<std::shared_ptr<Run>>(submitted);
    response.set_header("X-Engine-Running", std::to_string(m_simulation.runsInProgress()));
    const auto isStreamed = body->find("stream");
    if (isStreamed != body->end() && *isStreamed == true)
        stream(request, response, run, parseNumber(request.get_header_value("X-Resume-Offset"), 0));
    else
        respondUnstreamed(request, response, *run);
}

void EngineServer::stream(const httplib::Request& request, httplib::Response& response, const std::shared_ptr<Run>& run, uint64_t offset)
{
    const auto epoch = m_simulation.faults().silenceEpoch;
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider("text/event-stream", [this, run, epoch, next = offset, request](size_t, httplib::DataSink& sink) mutable {
        if (m_simulation.isUnreachable()) {
            dropConnection(request);
            return false;
        }
        // A silent stream keeps its connection open and never writes again, so the peer has to close it.
        if (isSilenced(epoch)) {
            std::this_thread::sleep_for(pollTime);
            return sink.is_writable();
        }
        const auto progress = m_simulation.waitForProgress(*run, next, pollTime);
        if (isSilenced(epoch))
            return true;
        std::string events;
        for (; next < progress.produced; ++next)
            events += chunk(run->submission, next, answerToken(run->submission.answerSeed, next));
        if (progress.state == RunState::Cancelled) {
            dropConnection(request);
            return false;
        }
        const bool isLast = progress.state == RunState::Finished;
        if (isLast)
            events += lastChunks(run->submission, progress.produced, progress.cachedTokens);
        if (!events.empty()) {
            if (!sink.write(events.data(), events.size()))
                return false;
            m_simulation.recordDelivered(*run, next);
        }
        if (isLast)
            sink.done();
        return true;
    });
}

void EngineServer::respondUnstreamed(const httplib::Request& request, httplib::Response& response, Run& run)
{
    const auto epoch = m_simulation.faults().silenceEpoch;
    const auto target = run.submission.completionTokens;
    auto progress = m_simulation.waitForProgress(run, target, pollTime);
    while (progress.state != RunState::Finished && progress.state != RunState::Cancelled) {
        if (m_simulation.isUnreachable())
            return dropConnection(request);
        progress = m_simulation.waitForProgress(run, target, pollTime);
    }
    while (isSilenced(epoch))
        std::this_thread::sleep_for(pollTime);
    if (progress.state == RunState::Cancelled)
        return dropConnection(request);
    const auto& submission = run.submission;
    respondWithJson(response,
        {
            { "id", "chatcmpl-" + submission.requestId },
            { "object", "chat.completion" },
            { "model", submission.model },
            { "choices", { { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", answerText(submission.answerSeed, progress.produced) } } }, { "finish_reason", "length" } } } },
            { "usage", usage(submission, progress.produced, progress.cachedTokens) },
        });
    m_simulation.recordDelivered(run, progress.produced);
}

void EngineServer::cancel(const httplib::Request& request, httplib::Response& response)
{
    response.status = m_simulation.cancel(request.matches[1]) ? 204 : 404;
    response.set_header("X-Engine-Running", std::to_string(m_simulation.runsInProgress()));
}

void EngineServer::load(const httplib::Request&, httplib::Response& response)
{
    respondWithJson(response, m_simulation.loadReport());
}

void EngineServer::cacheEvents(const httplib::Request& request, httplib::Response& response)
{
    respondWithJson(response, m_simulation.cacheEvents(parseNumber(request.get_param_value("from"), 0)));
}

void EngineServer::order(const httplib::Request& request, httplib::Response& response)
{
    const auto body = parseObject(request, response);
    if (!body)
        return;
    const auto state = m_simulation.order(*body, parseNumber(request.get_header_value("X-Fencing-Number"), 0));
    if (state)
        respondWithJson(response, { { "state", *state } });
    else
        respondWithJson(response, { { "error", "the fencing number is lower than one already received" } }, 409);
}

void EngineServer::exportPrefix(const httplib::Request& request, httplib::Response& response)
{
    const auto tokens = m_simulation.exportPrefix(request.matches[1]);
    if (!tokens) {
        response.status = 404;
        return;
    }
    std::string bytes = std::to_string(*tokens) + "\n";
    bytes.resize(bytes.size() + *tokens * exportedBytesPerToken, 'k');
    response.set_content(bytes, "application/octet-stream");
}

void EngineServer::importPrefix(const httplib::Request& request, httplib::Response& response)
{
    const auto tokens = parseNumber(std::string_view(request.body).substr(0, request.body.find('\n')), 0);
    if (tokens == 0) {
        respondWithJson(response, { { "error", "the request body is not an exported prefix" } }, 400);
        return;
    }
    m_simulation.importPrefix(request.matches[1], tokens);
    response.status = 204;
}

}
