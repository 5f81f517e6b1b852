#include "TraceTable.h"

namespace borageslip {

namespace {

    // Nodes of the list and the map, and the second copy of the request id.
    constexpr size_t entryOverheadBytes = 192;
    constexpr size_t maxSteps = 32;
    constexpr size_t maxTextBytes = 256;

    constexpr const char* stepName(RouteStep::Kind kind)
    {
        switch (kind) {
        case RouteStep::Kind::Asked:
            return "asked";
        case RouteStep::Kind::Retried:
            return "retried";
        case RouteStep::Kind::Resumed:
            return "resumed";
        }
        return "unknown";
    }

}

nlohmann::json DecisionTrace::toJson() const
{
    nlohmann::json json {
        { "request", request.text() },
        { "account", account.text() },
        { "model", model.text() },
        { "chat_hash", chat.hash },
        { "priority", priority },
        { "received_at_ms", std::chrono::duration_cast<std::chrono::milliseconds>(receivedAt.time_since_epoch()).count() },
        { "candidates", nlohmann::json::array() },
        { "steps", nlohmann::json::array() },
        { "omitted_steps", omittedSteps },
        { "outcome", outcome },
        { "detail", detail },
        { "first_token_us", firstToken ? nlohmann::json(firstToken->count()) : nlohmann::json() },
        { "total_us", total.count() },
    };
    for (size_t rank = 0; rank < candidates.size(); ++rank)
        json["candidates"].push_back({ { "rank", rank + 1 }, { "engine", candidates[rank].text() } });
    size_t asked = 0;
    size_t retries = 0;
    size_t resumes = 0;
    for (const auto& [time, step] : steps) {
        json["steps"].push_back({ { "at_us", time.count() }, { "step", stepName(step.kind) }, { "engine", step.engine.text() }, { "home", step.home.text() }, { "answer", step.answer }, { "reason", step.reason } });
        asked += step.kind == RouteStep::Kind::Asked ? 1 : 0;
        retries += step.kind == RouteStep::Kind::Retried ? 1 : 0;
        resumes += step.kind == RouteStep::Kind::Resumed ? 1 : 0;
    }
    json["attempts"] = asked;
    json["retries"] = retries;
    json["resumes"] = resumes;
    return json;
}

TraceTable::TraceTable(size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

size_t TraceTable::entryBytes(const Entry& entry) { return entry.text.capacity() + 2 * entry.request.capacity() + entryOverheadBytes; }

void TraceTable::add(const DecisionTrace& trace)
{
    Entry entry { trace.request.text(), trace.toJson().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
    entry.text.shrink_to_fit();
    const auto bytes = entryBytes(entry);
    const std::lock_guard lock(m_mutex);
    if (bytes > m_maxBytes || m_byRequest.contains(entry.request))
        return;
    while (m_bytes + bytes > m_maxBytes) {
        m_bytes -= entryBytes(m_entries.front());
        m_byRequest.erase(m_entries.front().request);
        m_entries.pop_front();
    }
    m_entries.push_back(std::move(entry));
    m_byRequest.emplace(m_entries.back().request, std::prev(m_entries.end()));
    m_bytes += entryBytes(m_entries.back());
}

std::optional<nlohmann::json> TraceTable::find(const std::string& request) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_byRequest.find(request);
    if (found == m_byRequest.end())
        return std::nullopt;
    return nlohmann::json::parse(found->second->text);
}

size_t TraceTable::bytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytes;
}

TraceRecorder::TraceRecorder(TraceTable& table, const Clock& clock, TimePoint receivedAt)
    : m_table(table)
    , m_clock(clock)
    , m_receivedAt(receivedAt)
{
    m_trace.receivedAt = clock.wallTime();
}

std::chrono::microseconds TraceRecorder::sinceReceived() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - m_receivedAt);
}

void TraceRecorder::identified(const RequestId& request, const AccountId& account, const ModelId& model, ChatKey chat, int priority)
{
    m_trace.request = request;
    m_trace.account = account;
    // The model name comes from the caller and need not exist, so its length is limited.
    m_trace.model = ModelId(std::string_view(model.text()).substr(0, maxTextBytes));
    m_trace.chat = chat;
    m_trace.priority = priority;
}

void TraceRecorder::candidatesRanked(const std::vector<EngineId>& candidates) { m_trace.candidates = candidates; }

void TraceRecorder::routeStep(const RouteStep& step)
{
    if (m_trace.steps.size() >= maxSteps) {
        ++m_trace.omittedSteps;
        return;
    }
    m_trace.steps.push_back({ sinceReceived(), step });
    m_trace.steps.back().step.reason.resize(std::min(step.reason.size(), maxTextBytes));
}

void TraceRecorder::firstToken()
{
    if (!m_trace.firstToken)
        m_trace.firstToken = sinceReceived();
}

void TraceRecorder::ended(const std::optional<Error>& failure)
{
    if (m_hasEnded || m_trace.request.isEmpty())
        return;
    m_hasEnded = true;
    m_trace.outcome = failure ? errorTraits(failure->kind).name : "ok";
    m_trace.detail = failure ? failure->detail.substr(0, maxTextBytes) : "";
    m_trace.total = sinceReceived();
    m_table.add(m_trace);
}

}
