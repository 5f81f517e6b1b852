#include "LoadRunner.h"

#include <borageslip_history/borageslip_history.h>
#include <pthread.h>
#include <thread>

namespace borageslip {

namespace {

    // cpp-httplib parses status lines with std::regex, which is recursive; 512 KiB is ample for it.
    constexpr size_t stackBytes = 512 * 1024;
    constexpr size_t bytesPerToken = 4;
    constexpr std::chrono::seconds connectTimeout { 2 };

    nlohmann::json chatBody(const PlannedRequest& request, const LoadMix::RequestClass& requestClass)
    {
        std::string prompt = request.chat + " ";
        prompt.resize(std::max(prompt.size(), request.promptTokens * bytesPerToken), 'p');
        return {
            { "model", requestClass.model },
            { "stream", requestClass.isStreamed },
            { "max_tokens", request.maxTokens },
            { "prompt_cache_key", request.chat },
            { "priority", requestClass.priority },
            { "metadata", { { "answer_seed", request.id } } },
            { "messages", { { { "role", "user" }, { "content", std::move(prompt) } } } },
        };
    }

    bool isUnreachable(httplib::Error failure)
    {
        return failure == httplib::Error::Connection || failure == httplib::Error::ConnectionTimeout;
    }

}

struct LoadRunner::Job {
    LoadRunner& runner;
    const PlannedRequest& request;
};

LoadRunner::LoadRunner(const LoadMix& mix, Limits limits, DirectoryClient& directory, HistoryWriter& history, LoadResults& results, const Clock& clock)
    : m_mix(mix)
    , m_limits(limits)
    , m_directory(directory)
    , m_history(history)
    , m_results(results)
    , m_clock(clock)
{
}

void LoadRunner::run(std::span<const PlannedRequest> plan)
{
    m_startedAt = m_clock.now();
    for (const auto& request : plan) {
        std::this_thread::sleep_until(m_startedAt + request.at);
        start(request);
    }
    std::unique_lock lock(m_mutex);
    m_requestEnded.wait(lock, [&] { return m_openCount == 0; });
}

void LoadRunner::start(const PlannedRequest& request)
{
    const auto fail = [&](const char* kind) {
        auto outcome = outcomeFor(request);
        outcome.outcome = "client-limit";
        outcome.errorKind = kind;
        m_results.add(outcome);
    };
    {
        const std::lock_guard lock(m_mutex);
        if (m_openCount >= m_limits.maxOpen)
            return fail("client-limit");
        ++m_openCount;
    }
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stackBytes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    auto job = std::make_unique<Job>(Job { *this, request });
    pthread_t thread {};
    const bool isStarted = pthread_create(&thread, &attributes, &LoadRunner::runJob, job.get()) == 0;
    pthread_attr_destroy(&attributes);
    if (isStarted) {
        static_cast<void>(job.release()); // Owned by the thread.
        return;
    }
    fail("client-threads");
    const std::lock_guard lock(m_mutex);
    --m_openCount;
}

void* LoadRunner::runJob(void* argument)
{
    const std::unique_ptr<Job> job(static_cast<Job*>(argument));
    job->runner.execute(job->request);
    // Notify while holding the lock: the runner may be destroyed as soon as the last request has ended.
    const std::lock_guard lock(job->runner.m_mutex);
    --job->runner.m_openCount;
    job->runner.m_requestEnded.notify_all();
    return nullptr;
}

void LoadRunner::execute(const PlannedRequest& request)
{
    const auto intendedStart = m_startedAt + request.at;
    if (m_mix.classes[request.requestClass].kind == LoadMix::Kind::Chat)
        executeChat(request, intendedStart);
    else
        executeService(request, intendedStart);
}

httplib::Result LoadRunner::send(httplib::Request& request, const std::string& accountKey, std::string& entry, TimePoint deadline)
{
    httplib::Result result(nullptr, httplib::Error::Connection);
    for (const auto& address : m_directory.entries(accountKey)) {
        entry = address;
        httplib::Client client("http://" + address);
        client.set_connection_timeout(connectTimeout);
        client.set_read_timeout(m_limits.readTimeout);
        client.set_tcp_nodelay(true);
        result = client.send(request);
        // No data was sent if the connection failed, so trying the next address is safe.
        if (result || !isUnreachable(result.error()) || m_clock.now() > deadline)
            break;
    }
    return result;
}

void LoadRunner::executeChat(const PlannedRequest& planned, TimePoint intendedStart)
{
    const auto& requestClass = m_mix.classes[planned.requestClass];
    const auto& account = m_mix.accounts[planned.account];
    auto outcome = outcomeFor(planned);
    const auto deadline = intendedStart + m_limits.requestTimeout;
    TimePoint lastToken;
    ChatResponseReader reader([&] {
        const auto now = m_clock.now();
        if (outcome.firstTokenMilliseconds < 0)
            outcome.firstTokenMilliseconds = millisecondsSince(intendedStart);
        else
            outcome.gapMilliseconds.push_back(std::chrono::duration<float, std::milli>(now - lastToken).count());
        lastToken = now;
    });
    int status = 0;
    bool isTimedOut = false;
    bool isStream = false;
    std::string body;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = chatBody(planned, requestClass).dump();
    request.headers = {
        { "Content-Type", "application/json" },
        { "Authorization", "Bearer " + account.key },
        { "X-Request-Id", planned.id },
    };
    request.response_handler = [&](const httplib::Response& response) {
        status = response.status;
        isStream = response.get_header_value("Content-Type").starts_with("text/event-stream");
        return true;
    };
    request.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
        if (status == 200 && isStream)
            reader.parseEvents({ data, size });
        else
            body.append(data, size);
        isTimedOut = m_clock.now() > deadline;
        return !isTimedOut;
    };
    m_history.write(eventFor(planned, planned.id, "invoke"));
    std::string entry;
    const auto result = send(request, account.key, entry, deadline);
    if (result && status != 200)
        reader.parseProblemDetails(body, status);
    else if (result && !isStream)
        reader.parseBody(body);
    const auto& answer = reader.response();
    outcome.totalMilliseconds = millisecondsSince(intendedStart);
    outcome.promptTokens = answer.promptTokens;
    outcome.cachedTokens = answer.cachedTokens;
    outcome.tokens = answer.tokens;
    outcome.errorKind = answer.errorKind;
    outcome.isNotRun = answer.isNotRun;
    if (answer.state == ChatResponseReader::State::Done)
        outcome.outcome = answer.text == answerText(planned.id, planned.maxTokens) ? "ok" : "malformed";
    else if (answer.state == ChatResponseReader::State::Error)
        outcome.outcome = status == 200 ? "error" : "refused";
    else if (answer.state == ChatResponseReader::State::Malformed)
        outcome.outcome = "malformed";
    else if (isTimedOut || (!result && m_clock.now() - intendedStart >= m_limits.readTimeout))
        outcome.outcome = "timeout";
    else
        outcome.outcome = !result && isUnreachable(result.error()) ? "unreachable" : "cut";
    if (outcome.errorKind.empty() && outcome.outcome != "ok")
        outcome.errorKind = outcome.outcome;
    auto event = eventFor(planned, planned.id, "complete");
    event["entry"] = entry;
    event["status"] = status;
    event["tokens"] = answer.tokens;
    event["expected_tokens"] = planned.maxTokens;
    event["answer_digest"] = answerDigest(answer.text);
    event["is_done"] = answer.state == ChatResponseReader::State::Done;
    if (!answer.problem.empty())
        event["problem"] = answer.problem;
    recordCompletion(outcome, std::move(event));
}

void LoadRunner::executeService(const PlannedRequest& planned, TimePoint intendedStart)
{
    const auto& requestClass = m_mix.classes[planned.requestClass];
    std::string key;
    if (!requestClass.isIdempotent) {
        key = m_directory.takeTicket(m_mix.accounts[planned.account].key);
        if (key.empty())
            key = "key-" + planned.id;
    }
    callService(planned, intendedStart, planned.id, key);
    if (planned.isRepeated && !key.empty())
        callService(planned, m_clock.now(), planned.id + "-again", key);
}

void LoadRunner::callService(const PlannedRequest& planned, TimePoint intendedStart, const std::string& requestId, const std::string& key)
{
    const auto& requestClass = m_mix.classes[planned.requestClass];
    const auto& account = m_mix.accounts[planned.account];
    httplib::Request request;
    request.method = requestClass.method;
    request.path = "/services/" + requestClass.service + requestClass.path;
    request.headers = { { "Authorization", "Bearer " + account.key }, { "X-Request-Id", requestId } };
    if (request.method != "GET") {
        request.body = nlohmann::json { { "booking", planned.id } }.dump();
        request.headers.emplace("Content-Type", "application/json");
    }
    if (!key.empty())
        request.headers.emplace("Idempotency-Key", key);
    auto invocation = eventFor(planned, requestId, "invoke");
    invocation["key"] = key;
    m_history.write(invocation);
    std::string entry;
    const auto result = send(request, account.key, entry, intendedStart + m_limits.requestTimeout);
    auto outcome = outcomeFor(planned);
    outcome.totalMilliseconds = millisecondsSince(intendedStart);
    auto event = eventFor(planned, requestId, "complete");
    event["key"] = key;
    event["entry"] = entry;
    event["status"] = result ? result->status : 0;
    if (result && result->status == 200) {
        const auto body = nlohmann::json::parse(result->body, nullptr, false);
        outcome.outcome = body.is_object() ? "ok" : "malformed";
        outcome.firstTokenMilliseconds = outcome.totalMilliseconds;
        if (body.is_object()) {
            event["answer_key"] = body.value("key", "");
            event["number"] = body.value("number", 0);
        }
    } else if (result) {
        ChatResponseReader reader([] {});
        reader.parseProblemDetails(result->body, result->status);
        outcome.outcome = "refused";
        outcome.errorKind = reader.response().errorKind;
        outcome.isNotRun = reader.response().isNotRun;
    } else {
        const bool isTimeout = m_clock.now() - intendedStart >= m_limits.readTimeout;
        outcome.outcome = isUnreachable(result.error()) ? "unreachable" : isTimeout ? "timeout"
                                                                                    : "cut";
        outcome.errorKind = outcome.outcome;
    }
    recordCompletion(outcome, std::move(event));
}

void LoadRunner::recordCompletion(const RequestOutcome& outcome, nlohmann::json event)
{
    event["outcome"] = outcome.outcome;
    event["error_kind"] = outcome.errorKind;
    event["not_run"] = outcome.isNotRun;
    m_history.write(std::move(event));
    m_results.add(outcome);
}

nlohmann::json LoadRunner::eventFor(const PlannedRequest& planned, const std::string& requestId, std::string_view kind) const
{
    const auto& requestClass = m_mix.classes[planned.requestClass];
    return {
        { "event", kind },
        { "request", requestId },
        { "kind", requestClass.kind == LoadMix::Kind::Chat ? "chat" : requestClass.isIdempotent ? "lookup"
                                                                                                : "booking" },
        { "class", requestClass.name },
        { "account", m_mix.accounts[planned.account].name },
        { "chat", planned.chat },
    };
}

RequestOutcome LoadRunner::outcomeFor(const PlannedRequest& planned) const
{
    RequestOutcome outcome;
    outcome.requestClass = m_mix.classes[planned.requestClass].name;
    outcome.account = m_mix.accounts[planned.account].name;
    return outcome;
}

double LoadRunner::millisecondsSince(TimePoint start) const
{
    return std::chrono::duration<double, std::milli>(m_clock.now() - start).count();
}

}
