#include "ChatRouter.h"

#include <algorithm>
#include <thread>

namespace borageslip {

namespace {

    constexpr size_t candidateCount = 4;
    constexpr size_t displacedTableBytes = 4 << 20;
    constexpr size_t maxSpreadChats = 16384;
    constexpr int maxChatRequestsPerEngine = 4;
    constexpr auto displacedLifetime = std::chrono::hours(6);
    constexpr std::chrono::milliseconds homeReplyMargin { 2000 };
    constexpr size_t maxEventBytes = 2 << 20;
    constexpr size_t maxErrorBytes = 64 << 10;
    constexpr int maxResumes = 3;
    constexpr size_t maxNotices = 64;
    constexpr std::chrono::milliseconds resumeRetryDelay { 200 };
    // A crashed home is removed within 10 s. The engine's new home then still has to read the engine's state.
    constexpr std::chrono::seconds resumeTimeout { 15 };
    // A home that does not reply within this time is asked again: it may be paused or about to be removed.
    constexpr std::chrono::milliseconds resumeReplyTimeout { 1000 };

    const EngineId* findEngine(const FleetView& fleet, const ModelId& model, EngineHash hash)
    {
        const auto* engines = hash ? fleet.enginesOf(model) : nullptr;
        if (!engines)
            return nullptr;
        const auto found = std::find_if(engines->ids.begin(), engines->ids.end(), [hash](const EngineId& id) { return engineHash(id) == hash; });
        return found == engines->ids.end() ? nullptr : &*found;
    }

    /** Returns the name of a known work class, otherwise "none", to bound the label values of metrics. Homes of earlier
        versions do not send a class. */
    std::string parseWorkClass(std::string_view header)
    {
        for (const auto workClass : { WorkClass::Urgent, WorkClass::Standard, WorkClass::Long }) {
            if (workClassName(workClass) == header)
                return std::string(header);
        }
        return "none";
    }

    Error parseErrorResponse(const InnerStream::Head& head, const std::string& body)
    {
        const auto problem = nlohmann::json::parse(body, nullptr, false);
        Error refusal { ErrorKind::Internal, "the home replied with HTTP status " + std::to_string(head.status) };
        if (problem.is_object() && problem.contains("kind") && problem["kind"].is_string()) {
            if (const auto kind = errorKindFromName(problem["kind"].get<std::string>()))
                refusal.kind = *kind;
            refusal.detail = problem.value("detail", refusal.detail);
            if (problem.contains("retry_after_ms"))
                refusal.retryAfter = std::chrono::milliseconds(problem.value("retry_after_ms", 0));
        }
        return refusal;
    }

}

class ChatRouter::Chat final : public RoutedChat {
public:
    Chat(ChatRouter& router, ChatCall call, Admission admission, Candidates candidates, CallFailures failures)
        : m_router(router)
        , m_call(std::move(call))
        , m_admission(std::move(admission))
        , m_candidates(std::move(candidates))
        , m_failures(std::move(failures))
    {
    }

    ~Chat() override
    {
        const std::lock_guard lock(m_router.m_mutex);
        m_router.m_spreader.end(m_call.query.chat);
    }

    Chat(const Chat&) = delete;
    Chat& operator=(const Chat&) = delete;

    const EngineId& engine() const override { return m_admission.engine; }
    const std::string& workClass() const override { return m_admission.workClass; }

    Next next(std::chrono::milliseconds timeout) override
    {
        while (true) {
            if (!m_frames.empty()) {
                auto next = processFrame();
                if (next)
                    return std::move(*next);
                continue;
            }
            if (m_connectionError) {
                if (auto failure = tryResume())
                    return { {}, std::move(failure), true };
                // next() returns between attempts, so that a disconnect of the caller is detected.
                if (m_connectionError)
                    return { {}, m_connectionError, false };
                continue;
            }
            auto bytes = m_admission.stream->next(timeout);
            if (!isOk(bytes)) {
                if (error(bytes).kind == ErrorKind::ConnectionSilent && error(bytes).detail == "the peer sent nothing in time")
                    return { {}, error(bytes), false };
                if (auto failure = recover(error(bytes)))
                    return { {}, std::move(failure), true };
                continue;
            }
            if (!value(bytes)) {
                if (auto failure = recover({ ErrorKind::PeerConnectionLost, "the home closed the response before its end frame" }))
                    return { {}, std::move(failure), true };
                continue;
            }
            const auto parsed = m_parser->feed(*value(bytes), [this](std::string_view data) {
                m_frames.emplace_back(data);
                return StreamFlow::Continue;
            });
            if (!isOk(parsed))
                return { {}, error(parsed), true };
        }
    }

private:
    std::optional<Next> processFrame()
    {
        const auto data = std::move(m_frames.front());
        m_frames.pop_front();
        const auto frame = parseFrame(data);
        if (!isOk(frame))
            return Next { {}, error(frame), true };
        if (const auto* end = std::get_if<EndFrame>(&value(frame)))
            return processEnd(*end);
        const auto& chunk = std::get<ChunkFrame>(value(frame));
        ++m_streamChunkCount;
        if (chunk.offset != m_deliveredTokens)
            return Next { {}, Error { ErrorKind::InvalidMessage, "a chunk is missing in the response from the home" }, true };
        m_deliveredTokens += chunk.tokens;
        if (!m_hasDeliveredChunk)
            m_failures.record({ ErrorKind::EngineFailed, "the engine " + m_admission.engine.text() + " did not finish the answer" });
        m_hasDeliveredChunk = true;
        return Next { std::string(chunk.json), {}, false };
    }

    std::optional<Next> processEnd(const EndFrame& end)
    {
        if (end.chunks != m_streamChunkCount)
            return Next { {}, Error { ErrorKind::InvalidMessage, "incomplete response from the home: the end frame gives another number of chunks" }, true };
        if (!end.failure)
            return Next { {}, {}, true };
        if (auto failure = recover(*end.failure))
            return Next { {}, std::move(failure), true };
        return std::nullopt;
    }

    /** Retries the call on another engine or prepares to resume the stream. Returns an error if neither is possible. */
    std::optional<Error> recover(const Error& failure)
    {
        m_frames.clear();
        m_parser.emplace(maxEventBytes);
        m_streamChunkCount = 0;
        m_failures.record(failure);
        if (!failure.isRetryable())
            return m_failures.errorToReport(failure);
        if (!m_hasDeliveredChunk)
            return moveToNextEngine(failure);
        const bool isHomeLost = failure.kind == ErrorKind::PeerConnectionLost || failure.kind == ErrorKind::ConnectionSilent || failure.kind == ErrorKind::PeerUnreachable;
        if (!isHomeLost || m_resumes >= maxResumes)
            return m_failures.errorToReport(failure);
        ++m_resumes;
        m_router.m_metrics.retried("resume");
        m_connectionError = failure;
        m_resumeUntil = m_router.m_clock.now() + resumeTimeout;
        return std::nullopt;
    }

    std::optional<Error> moveToNextEngine(const Error& failure)
    {
        if (!m_router.tryRetry(errorTraits(failure.kind).name))
            return m_failures.errorToReport(failure);
        if (m_call.listener)
            m_call.listener->routeStep({ RouteStep::Kind::Retried, m_call.query.engine, MemberId(), std::string(errorTraits(failure.kind).name), failure.detail });
        auto admission = m_router.admit(m_call, m_candidates, m_failures);
        if (!isOk(admission))
            return m_failures.errorToReport(failure);
        m_admission = value(std::move(admission));
        return std::nullopt;
    }

    /** Asks the engine's current home to resume the run. Returns an error once the resume timeout has passed. */
    std::optional<Error> tryResume()
    {
        std::this_thread::sleep_for(resumeRetryDelay);
        m_call.resumeOffset = m_deliveredTokens;
        m_call.query.engine = m_admission.engine;
        m_call.query.isRedirectable = false;
        m_call.query.deadline = m_router.m_clock.now() + resumeReplyTimeout;
        const auto fleet = m_router.m_fleet.current();
        auto admission = m_router.requestAdmission(*fleet, m_call).admission;
        report(*fleet, m_call, RouteStep::Kind::Resumed, admission);
        if (isOk(admission)) {
            m_admission = value(std::move(admission));
            m_connectionError.reset();
            return std::nullopt;
        }
        if (m_router.m_clock.now() < m_resumeUntil)
            return std::nullopt;
        return m_failures.errorToReport(*m_connectionError);
    }

    ChatRouter& m_router;
    ChatCall m_call;
    Admission m_admission;
    Candidates m_candidates;
    CallFailures m_failures;
    std::optional<SseParser> m_parser { std::in_place, maxEventBytes };
    std::deque<std::string> m_frames;
    uint64_t m_deliveredTokens = 0;
    uint64_t m_streamChunkCount = 0;
    bool m_hasDeliveredChunk = false;
    std::optional<Error> m_connectionError; ///< The error that interrupted the stream; empty unless the stream has to be resumed.
    TimePoint m_resumeUntil {};
    int m_resumes = 0;
};

ChatRouter::ChatRouter(const Clock& clock, InnerClient& client, FleetViewHolder& fleet, const LoadGossip& loadGossip, Metrics& metrics)
    : m_clock(clock)
    , m_client(client)
    , m_fleet(fleet)
    , m_loadGossip(loadGossip)
    , m_metrics(metrics)
    , m_displaced(displacedTableBytes, displacedLifetime)
    , m_spreader(maxSpreadChats, maxChatRequestsPerEngine)
{
}

ChatRouter::Candidates ChatRouter::candidates(const FleetView& fleet, const ChatCall& call)
{
    const auto* engines = fleet.enginesOf(call.query.model);
    std::vector<size_t> ranked;
    const std::lock_guard lock(m_mutex);
    const size_t firstRank = m_spreader.begin(call.query.chat);
    engines->ranking.topRanked(call.query.chat, candidateCount + firstRank, ranked);
    Candidates candidates;
    if (ranked.empty())
        return candidates;
    std::rotate(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(firstRank % ranked.size()), ranked.end());
    for (const size_t index : ranked)
        candidates.engines.push_back(engines->ids[index]);
    if (firstRank == 0) {
        candidates.firstChoice = candidates.engines.front();
        candidates.lastServed = m_displaced.find(call.query.chat, m_clock.now()).value_or(0);
    }
    return candidates;
}

Result<std::unique_ptr<RoutedChat>> ChatRouter::open(ChatCall call)
{
    const auto fleet = m_fleet.current();
    if (!fleet)
        return Error { ErrorKind::NoConfiguration, "no configuration is in force" };
    if (!fleet->enginesOf(call.query.model))
        return Error { ErrorKind::UnknownModel, "model " + call.query.model.text() + " is not configured" };
    {
        const std::lock_guard lock(m_mutex);
        m_retryBudget.recordRequest();
    }
    auto remaining = candidates(*fleet, call);
    if (call.listener)
        call.listener->candidatesRanked(std::vector(remaining.engines.begin(), remaining.engines.end()));
    CallFailures failures;
    auto admission = admit(call, remaining, failures);
    if (!isOk(admission)) {
        const std::lock_guard lock(m_mutex);
        m_spreader.end(call.query.chat);
        return error(admission);
    }
    notifyFirstChoice(*fleet, call, remaining, value(admission).engine);
    return std::unique_ptr<RoutedChat>(std::make_unique<Chat>(*this, std::move(call), value(std::move(admission)), std::move(remaining), std::move(failures)));
}

void ChatRouter::notifyFirstChoice(const FleetView& fleet, const ChatCall& call, const Candidates& candidates, const EngineId& servedAt)
{
    if (candidates.firstChoice.isEmpty())
        return;
    const auto served = engineHash(servedAt);
    const auto* home = fleet.homeOf(candidates.firstChoice);
    const std::lock_guard lock(m_mutex);
    m_displaced.recordServed(call.query.chat, served, engineHash(candidates.firstChoice), m_clock.now());
    if (servedAt == candidates.firstChoice || !home)
        return;
    m_pendingNotices.push_back(m_client.start(home->innerAddress, ChatPlacedNotice { call.query.chat, served }.toInnerRequest()));
    if (m_pendingNotices.size() > maxNotices)
        m_pendingNotices.pop_front();
}

Result<ChatRouter::Admission> ChatRouter::admit(ChatCall& call, Candidates& candidates, CallFailures& failures)
{
    Error lastError { ErrorKind::NoEngineAvailable, "no engine of the model can take the request", std::chrono::milliseconds(1000) };
    auto& engines = candidates.engines;
    // If all engines are busy, the request queues at the most preferred busy one, which holds its prefix.
    std::optional<EngineId> busyEngine;
    bool isSentToPreferred = false;
    int rank = 0;
    while (!engines.empty() || busyEngine) {
        const auto fleet = m_fleet.current();
        const bool isLast = engines.empty();
        call.query.engine = isLast ? *busyEngine : engines.front();
        if (!isLast)
            engines.pop_front();
        call.query.isRedirectable = !isLast && (!engines.empty() || busyEngine);
        call.query.rank = rank++;
        call.query.isFirstChoice = !isSentToPreferred && call.query.engine == candidates.firstChoice;
        call.query.lastServed = call.query.isFirstChoice ? candidates.lastServed : 0;
        auto reply = requestAdmission(*fleet, call);
        report(*fleet, call, RouteStep::Kind::Asked, reply.admission);
        if (isOk(reply.admission))
            return std::move(reply.admission);
        lastError = error(reply.admission);
        failures.record(lastError);
        if (isLast)
            break;
        if (reply.isBusy && !busyEngine)
            busyEngine = call.query.engine;
        if (const auto* preferred = findEngine(*fleet, call.query.model, reply.preferred); preferred && call.query.isFirstChoice) {
            // The first choice stays second in the order and is not asked for a preferred engine again.
            std::erase(engines, *preferred);
            engines.push_front(call.query.engine);
            engines.push_front(*preferred);
            isSentToPreferred = true;
            continue;
        }
        // Redirects are part of placement, and an unreachable home has sent nothing to an engine. Neither adds load on the
        // engines, so only other failures are charged to the retry budget.
        const bool isExemptFromRetryBudget = lastError.kind == ErrorKind::NoEngineAvailable || lastError.kind == ErrorKind::PeerUnreachable;
        if (!lastError.isRetryable() || lastError.kind == ErrorKind::Overloaded || (!isExemptFromRetryBudget && !tryRetry(errorTraits(lastError.kind).name)))
            break;
    }
    return failures.errorToReport(lastError);
}

ChatRouter::HomeReply ChatRouter::requestAdmission(const FleetView& fleet, const ChatCall& call)
{
    const auto* home = fleet.homeOf(call.query.engine);
    if (!home)
        return { Error { ErrorKind::PeerUnreachable, "no member can be the home of " + call.query.engine.text() } };
    const auto now = m_clock.now();
    auto request = call.toInnerRequest(now);
    m_loadGossip.attachTo(request.headers);
    auto stream = m_client.start(home->innerAddress, std::move(request));
    const auto remainingTime = std::chrono::duration_cast<std::chrono::milliseconds>(call.query.deadline - now);
    const auto head = stream->head(std::max(remainingTime, std::chrono::milliseconds(0)) + homeReplyMargin);
    if (!isOk(head))
        return { error(head) };
    const auto& headers = value(head).headers;
    m_loadGossip.receiveFrom(headers);
    const auto decision = headerOr(headers, "x-decision");
    if (decision == "admit")
        return { Admission { std::move(stream), call.query.engine, parseWorkClass(headerOr(headers, "x-class")) } };
    if (decision == "redirect") {
        const auto preferred = std::strtoull(std::string(headerOr(headers, "x-preferred", "0")).c_str(), nullptr, 10);
        return { Error { ErrorKind::NoEngineAvailable, std::string(headerOr(headers, "x-reason")), std::chrono::milliseconds(1000) }, preferred, headerOr(headers, "x-busy") == "1" };
    }
    const auto body = readAll(*stream, maxErrorBytes, homeReplyMargin);
    return { isOk(body) ? parseErrorResponse(value(head), value(body)) : error(body) };
}

void ChatRouter::report(const FleetView& fleet, const ChatCall& call, RouteStep::Kind kind, const Result<Admission>& admission)
{
    if (!call.listener)
        return;
    const auto* home = fleet.homeOf(call.query.engine);
    const auto reply = isOk(admission) ? std::string("admit") : std::string(errorTraits(error(admission).kind).name);
    call.listener->routeStep({ kind, call.query.engine, home ? home->id : MemberId(), reply, isOk(admission) ? "" : error(admission).detail });
}

bool ChatRouter::tryRetry(std::string_view reason)
{
    const std::lock_guard lock(m_mutex);
    if (!m_retryBudget.tryRetry())
        return false;
    m_metrics.retried(reason);
    return true;
}

}
