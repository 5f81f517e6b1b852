#include "EngineSimulation.h"

#include "common/StandinProgram.h"

#include <algorithm>

namespace borageslip::standin {

namespace {

    constexpr size_t maxRecords = 500'000;
    constexpr std::chrono::milliseconds reportRetention { 60'000 };

    constexpr std::array<std::string_view, 4> stateNames { "waiting", "running", "finished", "cancelled" };

    void append(nlohmann::json& list, nlohmann::json entry)
    {
        if (list.size() < maxRecords)
            list.push_back(std::move(entry));
    }

}

EngineSimulation::EngineSimulation(Settings settings)
    : m_settings(std::move(settings))
    , m_startedAt(std::chrono::steady_clock::now())
    , m_cache(m_settings.cache)
    , m_models(m_settings.models.begin(), m_settings.models.end())
{
    report(m_startedAt);
    m_thread = std::thread([this] { runBatchLoop(); });
}

EngineSimulation::~EngineSimulation()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

std::variant<std::shared_ptr<EngineSimulation::Run>, EngineSimulation::Refusal> EngineSimulation::submit(const Submission& submission, Mode mode)
{
    const std::lock_guard lock(m_mutex);
    if (const auto known = m_runs.find(submission.requestId); known != m_runs.end())
        return known->second;
    const auto refuse = [&](const std::string& reason) {
        recordRefusal(submission, reason);
        return Refusal { reason };
    };
    if (mode == Mode::Resume)
        return refuse("unknown-run");
    if (m_faults.isLeaving && !m_faults.acceptsWhileLeaving)
        return refuse("leaving");
    if (!m_models.contains(submission.model))
        return refuse("model");
    if (m_running.size() >= m_settings.slots && m_waiting.size() >= m_settings.queueLimit)
        return refuse("full");
    auto run = std::make_shared<Run>();
    run->submission = submission;
    run->arrival = m_arrivals++;
    run->acceptedMicroseconds = wallMicroseconds();
    m_runs[submission.requestId] = run;
    m_waiting.emplace(WaitingKey { submission.priority, run->arrival }, run);
    if (m_recorded.size() < maxRecords)
        m_recorded.push_back(run);
    startWaiting(std::chrono::steady_clock::now());
    return run;
}

void EngineSimulation::recordRefusal(const Submission& submission, const std::string& reason)
{
    append(m_refusals, { { "request", submission.requestId }, { "caller", submission.answerSeed }, { "reason", reason }, { "at_us", wallMicroseconds() } });
}

void EngineSimulation::startWaiting(SteadyTime now)
{
    while (!m_waiting.empty() && m_running.size() < m_settings.slots) {
        auto run = m_waiting.begin()->second;
        m_waiting.erase(m_waiting.begin());
        const auto& submission = run->submission;
        run->state = RunState::Running;
        run->startMicroseconds = wallMicroseconds();
        run->cachedTokens = submission.chat.empty() ? 0 : std::min(m_cache.use(submission.chat), submission.promptTokens);
        const auto uncached = static_cast<double>(submission.promptTokens - run->cachedTokens);
        const auto prefill = std::chrono::duration<double, std::micro>(uncached * static_cast<double>(m_settings.prefillPerToken.count()) * m_faults.slowFactor);
        run->prefilledAt = now + std::chrono::duration_cast<std::chrono::microseconds>(prefill);
        m_running.push_back(run);
        run->runningAtStart = m_running.size();
        m_maxRunning = std::max(m_maxRunning, m_running.size());
    }
}

void EngineSimulation::finish(Run& run, RunState state, SteadyTime now)
{
    run.state = state;
    run.endedAt = now;
    run.endMicroseconds = wallMicroseconds();
    const auto& submission = run.submission;
    if (run.startMicroseconds != 0 && !submission.chat.empty() && now >= run.prefilledAt)
        m_cache.store(submission.chat, submission.promptTokens + run.produced, now);
    m_ended.push_back(m_runs[submission.requestId]);
}

void EngineSimulation::removeExpiredRuns(SteadyTime now)
{
    while (!m_ended.empty() && m_ended.front()->endedAt + m_settings.finishedRunRetention < now) {
        m_runs.erase(m_ended.front()->submission.requestId);
        m_ended.pop_front();
    }
}

std::chrono::microseconds EngineSimulation::tickTime() const
{
    const double fill = static_cast<double>(m_running.size()) / static_cast<double>(m_settings.slots);
    return std::chrono::microseconds(static_cast<int64_t>(static_cast<double>(m_settings.tokenTime.count()) * (1 + m_settings.batchSlowdown * fill) * m_faults.slowFactor));
}

void EngineSimulation::runBatchLoop()
{
    std::unique_lock lock(m_mutex);
    auto next = std::chrono::steady_clock::now();
    while (!m_isStopping) {
        next += tickTime();
        m_changed.wait_until(lock, next, [&] { return m_isStopping; });
        const auto now = std::chrono::steady_clock::now();
        tick(now);
        // After a late wake-up, skip the missed ticks instead of running them in a burst.
        next = std::max(next, now - tickTime());
        m_changed.notify_all();
    }
}

void EngineSimulation::tick(SteadyTime now)
{
    applyOrders(now);
    for (const auto& run : m_running) {
        if (now < run->prefilledAt)
            continue;
        if (++run->produced >= run->submission.completionTokens)
            finish(*run, RunState::Finished, now);
    }
    std::erase_if(m_running, [](const auto& run) { return run->state != RunState::Running; });
    startWaiting(now);
    removeExpiredRuns(now);
    report(now);
}

void EngineSimulation::report(SteadyTime now)
{
    m_reports.push_back({ now, m_running.size(), m_waiting.size(), m_faults.isLeaving, { m_models.begin(), m_models.end() }, m_role });
    while (m_reports.size() > 1 && m_reports[1].at + m_settings.reportLag <= now && m_reports.front().at + reportRetention < now)
        m_reports.pop_front();
}

EngineSimulation::Progress EngineSimulation::waitForProgress(const Run& run, uint64_t offset, std::chrono::milliseconds time) const
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, time, [&] { return run.produced > offset || run.state == RunState::Finished || run.state == RunState::Cancelled; });
    return { run.state, run.produced, run.cachedTokens };
}

void EngineSimulation::recordDelivered(Run& run, uint64_t tokens)
{
    const std::lock_guard lock(m_mutex);
    run.delivered = std::max(run.delivered, tokens);
}

bool EngineSimulation::cancel(const std::string& requestId)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(requestId);
    if (found == m_runs.end())
        return false;
    const auto run = found->second;
    if (run->state == RunState::Finished || run->state == RunState::Cancelled)
        return false;
    m_waiting.erase({ run->submission.priority, run->arrival });
    std::erase(m_running, run);
    const auto now = std::chrono::steady_clock::now();
    finish(*run, RunState::Cancelled, now);
    startWaiting(now);
    m_changed.notify_all();
    return true;
}

size_t EngineSimulation::runsInProgress() const
{
    const std::lock_guard lock(m_mutex);
    return m_running.size() + m_waiting.size();
}

nlohmann::json EngineSimulation::loadReport() const
{
    const std::lock_guard lock(m_mutex);
    const auto now = std::chrono::steady_clock::now();
    const auto recent = std::find_if(m_reports.rbegin(), m_reports.rend(), [&](const Report& r) { return r.at + m_settings.reportLag <= now; });
    const auto* shown = recent == m_reports.rend() ? &m_reports.front() : &*recent;
    return {
        { "engine", m_settings.engine },
        { "running", shown->running },
        { "waiting", shown->waiting },
        { "slots", m_settings.slots },
        { "models", shown->models },
        { "state", shown->isLeaving ? "leaving" : "live" },
        { "role", shown->role },
        { "measured_ms_ago", std::chrono::duration_cast<std::chrono::milliseconds>(now - shown->at).count() },
    };
}

nlohmann::json EngineSimulation::cacheEvents(uint64_t from) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_cache.eventsFrom(from, std::chrono::steady_clock::now());
    auto events = nlohmann::json::array();
    for (const auto& event : found.events)
        events.push_back({ { "sequence", event.sequence }, { "type", event.isStored ? "stored" : "evicted" }, { "chat", event.chat }, { "tokens", event.tokens } });
    return { { "next", found.next }, { "events", std::move(events) } };
}

nlohmann::json EngineSimulation::records() const
{
    const std::lock_guard lock(m_mutex);
    auto runs = nlohmann::json::array();
    for (const auto& run : m_recorded) {
        const auto& submission = run->submission;
        runs.push_back({
            { "request", submission.requestId },
            { "caller", submission.answerSeed },
            { "chat", submission.chat },
            { "model", submission.model },
            { "priority", submission.priority },
            { "state", stateNames.at(static_cast<size_t>(run->state)) },
            { "accepted_us", run->acceptedMicroseconds },
            { "start_us", run->startMicroseconds },
            { "end_us", run->endMicroseconds },
            { "prompt_tokens", submission.promptTokens },
            { "cached_tokens", run->cachedTokens },
            { "completion_tokens", submission.completionTokens },
            { "produced", run->produced },
            { "delivered", run->delivered },
            { "cancelled", run->state == RunState::Cancelled },
            { "running_at_start", run->runningAtStart },
        });
    }
    return {
        { "engine", m_settings.engine },
        { "region", m_settings.region },
        { "models", m_models },
        { "slots", m_settings.slots },
        { "max_running", m_maxRunning },
        { "runs", std::move(runs) },
        { "refusals", m_refusals },
        { "state_changes", m_stateChanges },
        { "orders", m_orderRecords },
    };
}

void EngineSimulation::clearRecords()
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_recorded, [](const auto& run) { return run->endMicroseconds != 0; });
    m_refusals = nlohmann::json::array();
    m_stateChanges = nlohmann::json::array();
    m_orderRecords = nlohmann::json::array();
    m_maxRunning = m_running.size();
}

std::optional<std::string> EngineSimulation::order(const nlohmann::json& body, uint64_t fencingNumber)
{
    const std::lock_guard lock(m_mutex);
    const bool isOld = fencingNumber < m_highestFencing;
    const bool isRejected = isOld && m_settings.checksFencing;
    append(m_orderRecords, { { "order", body }, { "fencing", fencingNumber }, { "old_fencing", isOld }, { "rejected", isRejected }, { "at_us", wallMicroseconds() } });
    if (isRejected)
        return std::nullopt;
    m_highestFencing = std::max(m_highestFencing, fencingNumber);
    const auto now = std::chrono::steady_clock::now();
    const auto text = body.dump();
    if (!isInEffect(body))
        m_orders.try_emplace(text, PendingOrder { now + m_settings.orderTime });
    applyOrders(now);
    return isInEffect(body) ? "done" : "running";
}

bool EngineSimulation::isInEffect(const nlohmann::json& body) const
{
    const auto kind = body.value("order", "");
    const auto model = body.value("model", "");
    if (kind == "unload_model")
        return !m_models.contains(model);
    if (kind == "set_role")
        return m_role == body.value("role", m_role);
    if (kind == "load_adapter")
        return m_adapters.contains(body.dump());
    const auto version = m_versions.find(model);
    return m_models.contains(model) && (!body.contains("version") || (version != m_versions.end() && version->second == body.value("version", "")));
}

void EngineSimulation::applyOrders(SteadyTime now)
{
    for (auto order = m_orders.begin(); order != m_orders.end();) {
        if (now < order->second.doneAt) {
            ++order;
            continue;
        }
        const auto body = nlohmann::json::parse(order->first);
        order = m_orders.erase(order);
        const auto kind = body.value("order", "");
        const auto model = body.value("model", "");
        if (kind == "load_model") {
            m_models.insert(model);
            m_versions[model] = body.value("version", "");
        } else if (kind == "load_adapter")
            m_adapters.insert(body.dump());
        else if (kind == "unload_model")
            m_models.erase(model);
        else if (kind == "set_role")
            m_role = body.value("role", m_role);
    }
}

std::optional<uint64_t> EngineSimulation::exportPrefix(const std::string& chat) const
{
    const std::lock_guard lock(m_mutex);
    const auto tokens = m_cache.tokens(chat);
    return tokens == 0 ? std::nullopt : std::optional(tokens);
}

void EngineSimulation::importPrefix(const std::string& chat, uint64_t tokens)
{
    const std::lock_guard lock(m_mutex);
    m_cache.store(chat, tokens, std::chrono::steady_clock::now());
}

EngineSimulation::Faults EngineSimulation::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

bool EngineSimulation::isUnreachable() const
{
    const auto current = faults();
    if (current.isDropping)
        return true;
    if (current.flapPeriod.count() == 0)
        return false;
    return ((std::chrono::steady_clock::now() - m_startedAt) / current.flapPeriod) % 2 == 1;
}

nlohmann::json EngineSimulation::control(const nlohmann::json& changes)
{
    const std::lock_guard lock(m_mutex);
    const bool wasLeaving = m_faults.isLeaving;
    m_faults.slowFactor = std::clamp(changes.value("slow_factor", m_faults.slowFactor), 0.01, 10'000.0);
    m_faults.isSilent = changes.value("silent", m_faults.isSilent);
    m_faults.isRefusing = changes.value("refuse", m_faults.isRefusing);
    m_faults.isDropping = changes.value("drop_connections", m_faults.isDropping);
    m_faults.isLeaving = changes.value("leaving", m_faults.isLeaving);
    m_faults.acceptsWhileLeaving = changes.value("accept_while_leaving", m_faults.acceptsWhileLeaving);
    m_faults.flapPeriod = std::chrono::milliseconds(std::max<int64_t>(0, changes.value("flap_period_ms", m_faults.flapPeriod.count())));
    if (changes.value("silence_open_streams", false))
        ++m_faults.silenceEpoch;
    if (changes.value("clear_cache", false))
        m_cache.clear(std::chrono::steady_clock::now());
    if (wasLeaving != m_faults.isLeaving) {
        append(m_stateChanges, { { "state", m_faults.isLeaving ? "leaving" : "live" }, { "at_us", wallMicroseconds() } });
        report(std::chrono::steady_clock::now());
    }
    return {
        { "slow_factor", m_faults.slowFactor },
        { "silent", m_faults.isSilent },
        { "refuse", m_faults.isRefusing },
        { "drop_connections", m_faults.isDropping },
        { "leaving", m_faults.isLeaving },
        { "accept_while_leaving", m_faults.acceptsWhileLeaving },
        { "flap_period_ms", m_faults.flapPeriod.count() },
        { "silence_epoch", m_faults.silenceEpoch },
    };
}

}
