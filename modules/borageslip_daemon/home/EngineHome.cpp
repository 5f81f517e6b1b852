#include "EngineHome.h"

#include <algorithm>
#include <limits>

namespace borageslip {

namespace {

    // An engine that goes down twice within this time is flapping and gets no work until the same time has passed after it
    // came back. A single outage has no cooldown; otherwise one lost load report would exclude an engine for that long.
    constexpr std::chrono::seconds flappingCooldown { 30 };
    constexpr std::chrono::seconds evaluationInterval { 1 };
    // Admissions of the previous home that the first load report after a change of home may not show yet. Later reports
    // need no margin, because X-Engine-Running reports other homes' requests with each response. A permanent margin would
    // count as load and block an idle fleet, whose load bound is one request.
    constexpr int firstReportMargin = 2;
    // After a pause of this process, an older report must not be used for admission: the engine may have left since.
    // Reports arrive every second.
    constexpr std::chrono::milliseconds maxReportAge { 2000 };

    constexpr size_t displacedTableBytes = 4 << 20;
    constexpr size_t prefixIndexBytes = 4 << 20;
    // An engine has most likely evicted the prefix after this time.
    constexpr auto displacedLifetime = std::chrono::hours(6);
    // Initial estimate of the time to prefill a prompt token; measurements replace it.
    constexpr double initialPrefillSecondsPerToken = 100e-6;
    constexpr double maxPrefillSecondsPerToken = 1e-3;
    // Weight of a saved prefill: repeating it would also slow down the engine's other streams and evict other prefixes.
    constexpr double prefixReuseFactor = 4;
    // Shorter prompts do not give a usable time per token, because the time to first token has a constant part.
    constexpr int minPrefillSampleTokens = 500;

    /** Returns a uniformly distributed value in [0, 1) that is fixed for a chat and an engine, so that a reduced weight moves
        the same chats each time. */
    double chatFraction(ChatKey chat, const EngineId& engine)
    {
        return static_cast<double>(hashPair(chat.hash, engineHash(engine)) >> 11) / 9007199254740992.0;
    }

    EngineEjector::Settings ejectorSettings()
    {
        EngineEjector::Settings settings;
        // Each probe is a caller's request that is served slowly. In a fleet of 10 engines with 25 requests per second, the
        // probes of one slow engine must stay below 1% of the requests, or they alone determine the p99.
        settings.probeInterval = std::chrono::seconds(5);
        return settings;
    }

    std::optional<int> shortMaxTokens(const FleetConfiguration& configuration)
    {
        std::optional<int> least;
        for (const auto& [id, model] : configuration.models())
            least = std::min(least.value_or(std::numeric_limits<int>::max()), static_cast<int>(std::min<uint64_t>(model.shortMaxTokens, 1 << 24)));
        return least;
    }

}

EngineHome::EngineHome(MemberId self)
    : m_self(std::move(self))
    , m_ejector(ejectorSettings())
    , m_classifier(WorkClassifier::Settings {})
    , m_displaced(displacedTableBytes, displacedLifetime)
    , m_prefixes(prefixIndexBytes)
    , m_prefillSecondsPerToken(initialPrefillSecondsPerToken)
{
}

EngineHome::Replies EngineHome::update(const FleetView& fleet)
{
    Replies replies;
    std::map<EngineId, Engine> previous;
    previous.swap(m_engines);
    for (const auto& id : fleet.engines()) {
        const auto* home = fleet.homeOf(id);
        if (!home || home->id != m_self)
            continue;
        const auto& definition = fleet.configuration().engines().at(id);
        const auto known = previous.find(id);
        if (known == previous.end() || known->second.address != definition.address) {
            addEngine(definition, fleet.configuration());
            continue;
        }
        m_engines.insert(previous.extract(known));
        m_engines.at(id).models = definition.models;
    }
    if (const auto shortTokens = shortMaxTokens(fleet.configuration()))
        m_classifier.setMaxShortTokens(*shortTokens);
    m_fleetEngineCount = fleet.engines().size();
    for (auto& [id, engine] : previous) {
        if (!m_engines.contains(id)) {
            m_ejector.removeEngine(engineHash(id));
            m_prefixes.removeEngine(engineHash(id));
        }
        redirectWaiting(engine, replies);
    }
    return replies;
}

void EngineHome::addEngine(const EngineSettings& definition, const FleetConfiguration& configuration)
{
    const auto& limits = configuration.limits();
    EngineAdmission::Settings settings;
    settings.slots = static_cast<int>(definition.slots);
    settings.bound = LoadBound(limits.loadBound);
    settings.reservedShortShare = limits.reservedShortShare;
    settings.guaranteedLongShare = limits.guaranteedLongShare;
    settings.maxQueued = limits.queueLimit;
    if (const auto shortTokens = shortMaxTokens(configuration)) {
        // An estimate that is too high rejects Long requests that would start in time, and it is corrected only after such a
        // request has run.
        const Duration shortest = *shortTokens * WorkClassifier::Settings().timePerToken;
        settings.expectedDuration = { shortest / 8, shortest / 2, 2 * shortest };
    }
    Engine engine;
    engine.address = definition.address;
    engine.models = definition.models;
    engine.admission = std::make_unique<EngineAdmission>(settings);
    m_engines.emplace(definition.id, std::move(engine));
    m_ejector.addEngine(engineHash(definition.id));
}

void EngineHome::redirectWaiting(Engine& engine, Replies& replies)
{
    for (const auto& [request, workClass] : engine.waiting)
        replies.emplace_back(request, Redirected { "the engine has another home" });
}

bool EngineHome::canServe(const Engine& engine, const ModelId& model, TimePoint now) const
{
    if (!engine.isReachable || engine.isLeaving || now < engine.unavailableUntil)
        return false;
    // After a change of home, the engine may be leaving; this is unknown until the monitor has read its state.
    if (!engine.observedAt || now - *engine.observedAt > maxReportAge)
        return false;
    if (std::find(engine.models.begin(), engine.models.end(), model) == engine.models.end())
        return false;
    return engine.loadedModels && engine.loadedModels->contains(model);
}

std::optional<AdmissionReply> EngineHome::admit(const AdmissionQuery& query, TimePoint now)
{
    auto reply = decide(query, now);
    logDecision(query, reply);
    return reply;
}

void EngineHome::logDecision(const AdmissionQuery& query, const std::optional<AdmissionReply>& reply) const
{
    if (!isLogged(Severity::Debug))
        return;
    nlohmann::json fields { { "request", query.request.text() }, { "chat", query.chat.hash }, { "rank", query.rank }, { "engine", query.engine.text() } };
    if (!reply) {
        fields["decision"] = "queue";
    } else if (const auto* redirected = std::get_if<Redirected>(&*reply)) {
        fields["decision"] = "redirect";
        fields["reason"] = redirected->reason;
    } else if (const auto* refusal = std::get_if<Error>(&*reply)) {
        fields["decision"] = "refuse";
        fields["reason"] = errorTraits(refusal->kind).name;
    } else {
        fields["decision"] = "admit";
    }
    if (const auto found = m_engines.find(query.engine); found != m_engines.end()) {
        const auto& admission = *found->second.admission;
        fields["running"] = admission.running();
        fields["capacity"] = admission.capacity();
        fields["queued"] = admission.queued();
    }
    logEvent(Severity::Debug, "placement", fields);
}

std::optional<AdmissionReply> EngineHome::decide(const AdmissionQuery& query, TimePoint now)
{
    const auto found = m_engines.find(query.engine);
    if (found == m_engines.end())
        return Redirected { "the engine has another home" };
    auto& engine = found->second;
    if (!canServe(engine, query.model, now)) {
        if (query.isRedirectable)
            return Redirected { "the engine is not available" };
        return Error { ErrorKind::NoEngineAvailable, "engine " + query.engine.text() + " is not available", std::chrono::milliseconds(1000) };
    }
    const auto hash = engineHash(query.engine);
    if (query.isRedirectable && chatFraction(query.chat, query.engine) >= m_ejector.weight(hash) && !m_ejector.tryProbe(hash, now))
        return Redirected { "the engine is slow" };
    const WorkFeatures features { query.account, query.priority, query.maxTokens, query.promptTokens };
    const auto workClass = m_classifier.classify(features);
    const bool hasPrefix = holdsPrefix(query.engine, query.chat);
    if (const auto otherEngine = preferredEngine(query, hasPrefix, now))
        return Redirected { "the chat was last served elsewhere", otherEngine };
    // Waiting for the engine that holds the prefix is better than prefilling the prompt elsewhere, up to the weighted time
    // of that prefill.
    const auto redirectThreshold = hasPrefix ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(prefixReuseFactor * query.promptTokens * m_prefillSecondsPerToken)) : Duration {};
    const RequestView view { query.request, query.account, workClass, 1, query.deadline, redirectThreshold, query.isRedirectable };
    const auto decision = engine.admission->decide(view, now);
    if (std::holds_alternative<Admit>(decision)) {
        engine.admission->start(query.request, workClass, now);
        return Admitted { query.engine, engine.address, workClass };
    }
    if (std::holds_alternative<Redirect>(decision))
        return Redirected { "the engine is at its bound", 0, true };
    if (const auto* refuse = std::get_if<Refuse>(&decision))
        return refuse->error;
    engine.waiting.emplace(query.request, workClass);
    return std::nullopt;
}

EngineHome::Replies EngineHome::processDequeued(const EngineId& id, Engine& engine, DequeuedRequests dequeued)
{
    Replies replies;
    for (const auto& started : dequeued.started) {
        engine.waiting.erase(started.request.id);
        replies.emplace_back(started.request.id, Admitted { id, engine.address, started.workClass });
    }
    for (auto& refused : dequeued.refused) {
        engine.waiting.erase(refused.request.id);
        replies.emplace_back(refused.request.id, std::move(refused.error));
    }
    return replies;
}

EngineHome::Replies EngineHome::finish(const RunReport& report, TimePoint now)
{
    const auto found = m_engines.find(report.engine);
    if (found == m_engines.end())
        return {};
    const WorkFeatures features { report.account, report.priority, report.maxTokens, report.promptTokens };
    if (report.outcome == AttemptOutcome::Kind::FirstToken) {
        m_classifier.recordFinished(features, report.runDuration);
        recordPrefix(found->second, report);
    }
    if (report.timeToFirstToken || report.outcome != AttemptOutcome::Kind::FirstToken) {
        AttemptOutcome outcome;
        outcome.kind = report.outcome;
        outcome.workClass = report.workClass;
        outcome.timeToFirstToken = report.timeToFirstToken.value_or(Duration {});
        outcome.requestStarted = report.startedAt;
        m_ejector.record(engineHash(report.engine), outcome, now);
    }
    return processDequeued(report.engine, found->second, found->second.admission->finish(report.request, now));
}

void EngineHome::recordPlacement(ChatKey chat, EngineHash servedAt, TimePoint now)
{
    m_displaced.recordServed(chat, servedAt, 0, now);
}

EngineHash EngineHome::preferredEngine(const AdmissionQuery& query, bool holdsPrefix, TimePoint now)
{
    if (!query.isFirstChoice || !query.isRedirectable)
        return 0;
    const auto own = engineHash(query.engine);
    auto otherEngine = m_displaced.find(query.chat, now).value_or(0);
    if (!otherEngine && !holdsPrefix)
        otherEngine = query.lastServed;
    return otherEngine == own ? 0 : otherEngine;
}

bool EngineHome::holdsPrefix(const EngineId& engine, ChatKey chat)
{
    const auto locations = m_prefixes.find(chat.hash);
    return std::any_of(locations.begin(), locations.end(), [hash = engineHash(engine)](const PrefixLocation& location) { return location.engine == hash; });
}

void EngineHome::recordPrefix(Engine& engine, const RunReport& report)
{
    if (report.timeToFirstToken && report.promptTokens >= minPrefillSampleTokens && !holdsPrefix(report.engine, report.chat)) {
        const double sample = std::chrono::duration<double>(*report.timeToFirstToken).count() / report.promptTokens;
        m_prefillSecondsPerToken += 0.05 * (std::min(sample, maxPrefillSecondsPerToken) - m_prefillSecondsPerToken);
    }
    m_prefixes.apply(engineHash(report.engine), { ++engine.lastPrefixSequence, CacheEvent::Kind::Stored, report.chat.hash });
}

EngineHome::Replies EngineHome::withdraw(const EngineId& id, const RequestId& request, TimePoint now)
{
    const auto found = m_engines.find(id);
    if (found == m_engines.end() || found->second.waiting.erase(request) == 0)
        return {};
    return processDequeued(id, found->second, found->second.admission->finish(request, now));
}

void EngineHome::setReportedRunning(const EngineId& id, int running, TimePoint now)
{
    const auto found = m_engines.find(id);
    if (found != m_engines.end())
        found->second.admission->setReportedRunning(running, now);
}

EngineHome::Replies EngineHome::observe(const EngineObservation& observation, TimePoint now)
{
    const auto found = m_engines.find(observation.engine);
    if (found == m_engines.end())
        return {};
    auto& engine = found->second;
    const bool wasUp = engine.isReachable && !engine.isLeaving;
    const bool isUp = observation.isReachable && !observation.isLeaving;
    engine.observedAt = now;
    engine.isReachable = observation.isReachable;
    engine.isLeaving = observation.isLeaving;
    if (observation.isReachable) {
        engine.loadedModels.emplace(observation.loadedModels.begin(), observation.loadedModels.end());
        const int margin = std::exchange(engine.hasLoadReport, true) ? 0 : std::min(firstReportMargin, observation.running);
        engine.admission->setReportedRunning(observation.running, now, margin);
    }
    if (wasUp && !isUp)
        engine.isFlapping = engine.lastDownAt && now - std::exchange(*engine.lastDownAt, now) < flappingCooldown;
    if (wasUp && !isUp && !engine.lastDownAt)
        engine.lastDownAt = now;
    if (!wasUp && isUp && engine.isFlapping)
        engine.unavailableUntil = now + flappingCooldown;
    if (wasUp == isUp)
        return {};
    logEvent(Severity::Info, "engine-availability", { { "engine", observation.engine.text() }, { "reachable", observation.isReachable }, { "leaving", observation.isLeaving } });
    if (isUp)
        return {};
    Replies replies;
    for (const auto& [request, workClass] : std::exchange(engine.waiting, {})) {
        replies.emplace_back(request, Redirected { "the engine is not available" });
        auto released = processDequeued(observation.engine, engine, engine.admission->finish(request, now));
        replies.insert(replies.end(), released.begin(), released.end());
    }
    return replies;
}

EngineHome::Replies EngineHome::tick(TimePoint now)
{
    Replies replies;
    for (auto& [id, engine] : m_engines) {
        double mean = 0;
        for (const auto& model : engine.models) {
            const auto known = m_meanLoads.find(model);
            mean = std::max(mean, known == m_meanLoads.end() ? 0.0 : known->second);
        }
        engine.admission->setMeanLoad(mean);
        engine.admission->markStragglers(now);
        auto released = processDequeued(id, engine, engine.admission->expire(now));
        replies.insert(replies.end(), std::make_move_iterator(released.begin()), std::make_move_iterator(released.end()));
    }
    if (now - m_lastEvaluation >= evaluationInterval) {
        m_lastEvaluation = now;
        for (const auto& change : m_ejector.evaluate(now))
            logEvent(Severity::Info, "engine-weight", { { "engine_hash", change.engine }, { "weight", change.weight } });
    }
    return replies;
}

void EngineHome::setMeanLoad(const ModelId& model, double mean)
{
    m_meanLoads[model] = mean;
}

std::vector<ModelLoad> EngineHome::loads() const
{
    std::map<ModelId, ModelLoad> sums;
    for (const auto& [id, engine] : m_engines) {
        for (const auto& model : engine.models) {
            auto& sum = sums[model];
            sum.model = model;
            sum.running += static_cast<uint32_t>(engine.admission->running()) + static_cast<uint32_t>(engine.admission->queued());
            ++sum.engines;
        }
    }
    std::vector<ModelLoad> loads;
    loads.reserve(sums.size());
    for (const auto& [model, sum] : sums)
        loads.push_back(sum);
    return loads;
}

LatencySummary EngineHome::latencies(TimePoint now)
{
    LatencySummary summary;
    summary.lowered = static_cast<uint8_t>(std::min<size_t>(m_ejector.loweredCount(), UINT8_MAX));
    for (size_t i = 0; i < workClassCount; ++i) {
        const auto own = m_ejector.localMedian(static_cast<WorkClass>(i), now);
        summary.classes.at(i) = { own.median, static_cast<uint16_t>(std::min<size_t>(own.engines, UINT16_MAX)) };
    }
    return summary;
}

void EngineHome::setPeerLatencies(std::vector<LatencySummary> summaries, TimePoint now)
{
    size_t loweredByPeers = 0;
    for (const auto& summary : summaries)
        loweredByPeers += summary.lowered;
    m_ejector.setFleetSize(m_fleetEngineCount, loweredByPeers);
    summaries.push_back(latencies(now));
    for (size_t i = 0; i < workClassCount; ++i)
        m_ejector.setFleetMedian(static_cast<WorkClass>(i), fleetMedian(summaries, static_cast<WorkClass>(i)));
}

std::vector<EngineHome::EngineStatus> EngineHome::status() const
{
    std::vector<EngineStatus> rows;
    rows.reserve(m_engines.size());
    for (const auto& [id, engine] : m_engines)
        rows.push_back({ id, engine.address, engine.admission->running(), engine.admission->queued(), engine.admission->capacity(), m_ejector.weight(engineHash(id)), engine.isReachable && !engine.isLeaving });
    return rows;
}

std::vector<std::pair<EngineId, std::string>> EngineHome::engines() const
{
    std::vector<std::pair<EngineId, std::string>> list;
    list.reserve(m_engines.size());
    for (const auto& [id, engine] : m_engines)
        list.emplace_back(id, engine.address);
    return list;
}

}
