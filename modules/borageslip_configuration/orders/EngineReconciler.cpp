#include "EngineReconciler.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr std::chrono::milliseconds idleInterval { 1000 };

    std::string orderKey(const EngineId& engine)
    {
        return "borageslip/orders/" + engine.text();
    }

    std::string modelLockKey(const ModelId& model)
    {
        return "borageslip/turns/" + model.text();
    }

    nlohmann::json parseObject(const std::optional<StoredValue>& stored)
    {
        auto json = stored ? nlohmann::json::parse(stored->bytes, nullptr, false) : nlohmann::json();
        return json.is_object() ? json : nlohmann::json::object();
    }

}

EngineReconciler::EngineReconciler(Settings settings, EngineId engine, Dependencies dependencies)
    : m_settings(std::move(settings))
    , m_engine(std::move(engine))
    , m_dependencies(dependencies)
    , m_chart(StateChart::named("order"))
{
}

std::chrono::milliseconds EngineReconciler::step()
{
    static const std::map<std::string, Handler, std::less<>> s_handlers {
        { "idle", &EngineReconciler::stepIdle },
        { "acquiring", &EngineReconciler::stepAcquiring },
        { "waiting", &EngineReconciler::stepWaiting },
        { "reading", &EngineReconciler::stepReading },
        { "sending", &EngineReconciler::stepSending },
        { "settling", &EngineReconciler::stepSettling },
    };
    const auto applied = m_dependencies.configuration.current();
    m_configuration = applied ? applied->configuration : nullptr;
    return (this->*s_handlers.at(m_chart.current()))();
}

std::chrono::milliseconds EngineReconciler::fire(std::string_view event, std::chrono::milliseconds wait)
{
    const auto status = m_chart.fire(event);
    BORAGESLIP_INVARIANT(isOk(status), "order-chart", isOk(status) ? "" : error(status).detail);
    return wait;
}

const EngineSettings* EngineReconciler::engineSettings() const
{
    return m_configuration ? m_configuration->engine(m_engine) : nullptr;
}

std::optional<EngineOrder> EngineReconciler::decide(const EngineReport& report) const
{
    if (!m_configuration)
        return std::nullopt;
    return decideOrder(*m_configuration, m_engine, report, m_loaded, [&](const ModelId& model) {
        const auto serving = m_dependencies.fleet.enginesServing(model);
        return static_cast<size_t>(std::ranges::count_if(serving, [&](const EngineId& id) { return id != m_engine; }));
    });
}

bool EngineReconciler::readRecord()
{
    if (m_isRecordRead)
        return true;
    const auto reading = m_dependencies.store.read(orderKey(m_engine));
    if (!isOk(reading))
        return false;
    const auto record = parseObject(value(reading).value);
    if (const auto loaded = record.find("loaded"); loaded != record.end() && loaded->is_object()) {
        for (const auto& [model, version] : loaded->items()) {
            if (version.is_string())
                m_loaded[ModelId(model)] = version;
        }
    }
    m_isRecordRead = true;
    return true;
}

void EngineReconciler::updateLoadedVersions(const EngineReport& report)
{
    // Reports contain no versions, so a model without a record is assumed to have the version that is configured now.
    for (const auto& model : report.models) {
        if (const auto* settings = m_configuration->model(model))
            m_loaded.emplace(model, settings->version);
    }
    std::erase_if(m_loaded, [&](const auto& entry) { return !report.hasModel(entry.first); });
}

std::chrono::milliseconds EngineReconciler::stepIdle()
{
    const auto report = m_dependencies.fleet.latestReport(m_engine);
    if (m_lockedModel && m_dependencies.clock.now() - m_orderSentAt >= m_settings.reportLag)
        releaseModelLock();
    if (!engineSettings() || !report)
        return idleInterval;
    if (!readRecord())
        return m_settings.retryAfterFailure;
    updateLoadedVersions(*report);
    return decide(*report) ? fire("work") : idleInterval;
}

Result<uint64_t> EngineReconciler::lockOrderKey()
{
    auto loaded = nlohmann::json::object();
    for (const auto& [model, version] : m_loaded)
        loaded[model.text()] = version;
    const nlohmann::json record { { "holder", holderName() }, { "order", m_order ? m_order->toJson() : nlohmann::json() }, { "loaded", loaded } };
    return m_dependencies.store.acquire(orderKey(m_engine), record.dump(), m_session);
}

std::chrono::milliseconds EngineReconciler::stepAcquiring()
{
    const auto session = m_dependencies.lease.renew();
    const auto* engine = engineSettings();
    if (!isOk(session) || !engine)
        return fire("lost", m_settings.retryAfterFailure);
    m_session = value(session);
    const auto before = m_dependencies.store.read(orderKey(m_engine));
    if (!isOk(before))
        return fire("lost", m_settings.retryAfterFailure);
    const auto fencingNumber = lockOrderKey();
    if (!isOk(fencingNumber))
        return fire("lost", m_settings.retryAfterFailure);
    m_fencingNumber = value(fencingNumber);
    // Only m_safeSession shows that this process has waited. After a lost response the stored key already names this
    // holder although it has not waited.
    const bool isFirstHolder = !value(before).value;
    if (engine->checksFencing || isFirstHolder || m_safeSession == m_session) {
        m_safeSession = m_session;
        return fire("acquired");
    }
    m_waitUntil = m_dependencies.clock.now() + staleSendWindow();
    return fire("holder-changed", renewalInterval());
}

bool EngineReconciler::confirmLock()
{
    const auto session = m_dependencies.lease.renew();
    if (!isOk(session) || value(session) != m_session)
        return false;
    const auto reading = m_dependencies.store.read(orderKey(m_engine));
    if (!isOk(reading) || !value(reading).value)
        return false;
    const auto& stored = *value(reading).value;
    return stored.holder == m_session && stored.modifyIndex == m_fencingNumber;
}

std::chrono::milliseconds EngineReconciler::stepWaiting()
{
    if (!confirmLock())
        return fire("lost", m_settings.retryAfterFailure);
    const auto now = m_dependencies.clock.now();
    if (now < m_waitUntil)
        return std::min(renewalInterval(), std::chrono::ceil<std::chrono::milliseconds>(m_waitUntil - now));
    m_safeSession = m_session;
    return fire("waited");
}

bool EngineReconciler::acquireModelLock(const ModelId& model)
{
    const auto now = m_dependencies.clock.now();
    if (m_lockedModel == model && m_modelLockSession == m_session)
        return now >= m_modelLockUsableFrom;
    const auto before = m_dependencies.store.read(modelLockKey(model));
    if (!isOk(before))
        return false;
    const auto record = parseObject(value(before).value);
    const nlohmann::json taken { { "holder", holderName() }, { "engine", m_engine.text() }, { "state", "taken" } };
    if (!isOk(m_dependencies.store.acquire(modelLockKey(model), taken.dump(), m_session)))
        return false;
    m_lockedModel = model;
    m_modelLockSession = m_session;
    // A holder that did not release the model lock may still resume and send an order.
    const bool isAbandoned = record.value("state", "free") != "free";
    m_modelLockUsableFrom = isAbandoned ? now + staleSendWindow() : now;
    return !isAbandoned;
}

void EngineReconciler::releaseModelLock()
{
    const auto key = modelLockKey(*m_lockedModel);
    m_lockedModel.reset();
    // If this fails, the key stays marked as taken, and the next holder waits before it sends.
    const auto freed = m_dependencies.store.acquire(key, R"({"state":"free"})", m_modelLockSession);
    if (!isOk(freed) || !isOk(m_dependencies.store.release(key, m_modelLockSession)))
        logEvent(Severity::Warning, "turn-not-ended", { { "engine", m_engine.text() } });
}

std::chrono::milliseconds EngineReconciler::stepReading()
{
    const auto* engine = engineSettings();
    m_checkStartedAt = m_dependencies.clock.now();
    if (!engine || !confirmLock())
        return fire("lost", m_settings.retryAfterFailure);
    if (!engine->checksFencing && m_safeSession != m_session)
        return fire("lost");
    const auto report = m_dependencies.engine.readState(*engine);
    if (!isOk(report))
        return fire("lost", m_settings.retryAfterFailure);
    updateLoadedVersions(value(report));
    m_order = decide(value(report));
    if (!m_order)
        return fire("settled", idleInterval);
    if (m_order->reducesCapacity) {
        if (m_lockedModel && m_lockedModel != m_order->model)
            releaseModelLock();
        if (!acquireModelLock(m_order->model))
            return std::min(renewalInterval(), idleInterval);
        // Another engine may have unloaded the model before the lock was acquired.
        m_order = decide(value(report));
        if (!m_order || !m_order->reducesCapacity || m_order->model != *m_lockedModel)
            return std::min(renewalInterval(), idleInterval);
    }
    fire("order");
    return stepSending();
}

std::chrono::milliseconds EngineReconciler::stepSending()
{
    const auto* engine = engineSettings();
    const auto now = m_dependencies.clock.now();
    if (!engine || !m_order || now - m_checkStartedAt > m_settings.maxCheckAge)
        return fire("failed");
    const auto order = *m_order;
    m_orderSentAt = now;
    const auto sent = m_dependencies.engine.send(*engine, order, m_fencingNumber);
    logEvent(Severity::Info, "engine-order", { { "engine", m_engine.text() }, { "order", order.toJson() }, { "fencing_number", m_fencingNumber }, { "result", isOk(sent) ? "sent" : errorTraits(error(sent).kind).name } });
    if (!isOk(sent))
        return fire(error(sent).kind == ErrorKind::LeaseLost ? "fenced" : "failed", m_settings.retryAfterFailure);
    // The engine may respond before its report shows the effect, so both Done and Running wait for the report.
    return fire("running", std::min(renewalInterval(), m_settings.reportLag));
}

std::chrono::milliseconds EngineReconciler::stepSettling()
{
    const auto* engine = engineSettings();
    if (!engine || !confirmLock())
        return fire("lost", m_settings.retryAfterFailure);
    const auto elapsed = m_dependencies.clock.now() - m_orderSentAt;
    const auto report = m_dependencies.engine.readState(*engine);
    const bool isLoad = m_order->kind == EngineOrder::Kind::LoadModel;
    const bool hasEffect = isOk(report) && value(report).hasModel(m_order->model) == isLoad && elapsed >= m_settings.reportLag;
    if (!hasEffect)
        return elapsed > m_settings.orderTimeout ? fire("failed") : std::min(renewalInterval(), idleInterval);
    if (isLoad)
        m_loaded[m_order->model] = m_order->version;
    else
        m_loaded.erase(m_order->model);
    const auto fencingNumber = lockOrderKey();
    if (!isOk(fencingNumber))
        return fire("lost", m_settings.retryAfterFailure);
    m_fencingNumber = value(fencingNumber);
    if (m_lockedModel)
        releaseModelLock();
    return fire("done");
}

}
