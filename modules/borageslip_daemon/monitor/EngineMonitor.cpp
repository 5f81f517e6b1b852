#include "EngineMonitor.h"

#include "../settings/DaemonSettings.h"

#include <algorithm>

namespace borageslip {

namespace {

    // A leaving engine must be detected within 3 s, and the report itself also lags.
    constexpr std::chrono::milliseconds readInterval { 1000 };
    constexpr std::chrono::milliseconds readTimeout { 1000 };
    // An engine that does not respond blocks one thread for the timeout.
    constexpr size_t threadCount = 4;
    constexpr uint64_t headerBytesPerRead = 250;

}

Result<EngineObservation> parseLoadReport(const EngineId& engine, std::string_view json)
{
    const auto report = nlohmann::json::parse(json, nullptr, false);
    const Error malformed { ErrorKind::InvalidMessage, "malformed load report" };
    if (!report.is_object() || !report.contains("running") || !report["running"].is_number_integer())
        return malformed;
    EngineObservation observation;
    observation.engine = engine;
    observation.isReachable = true;
    observation.running = report["running"];
    if (const auto state = report.find("state"); state != report.end() && state->is_string())
        observation.isLeaving = *state == "leaving";
    if (const auto models = report.find("models"); models != report.end() && models->is_array()) {
        for (const auto& model : *models) {
            if (!model.is_string())
                return malformed;
            observation.loadedModels.emplace_back(model.get<std::string>());
        }
    }
    return observation;
}

EngineMonitor::EngineMonitor(const HomeClient& home, const Clock& clock)
    : m_home(home)
    , m_clock(clock)
{
}

EngineMonitor::~EngineMonitor()
{
    stop();
}

void EngineMonitor::start()
{
    for (size_t i = 0; i < threadCount; ++i)
        m_threads.emplace_back([this] { runWorker(); });
}

void EngineMonitor::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopped = true;
    }
    m_wake.notify_all();
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
}

void EngineMonitor::setTargets(const std::map<EngineId, std::string>& addresses)
{
    const std::lock_guard lock(m_mutex);
    Targets targets;
    for (const auto& [engine, address] : addresses) {
        const auto known = m_targets.find(engine);
        if (known != m_targets.end() && known->second.address == address) {
            targets.insert(m_targets.extract(known));
            continue;
        }
        const auto endpoint = Endpoint::parse(address);
        Target target;
        target.address = address;
        target.client = std::make_shared<httplib::Client>(endpoint.host, endpoint.port);
        target.client->set_keep_alive(true);
        target.client->set_tcp_nodelay(true);
        target.client->set_connection_timeout(readTimeout);
        target.client->set_read_timeout(readTimeout);
        targets.emplace(engine, std::move(target));
    }
    m_targets = std::move(targets);
    m_wake.notify_all();
}

EngineMonitor::Targets::iterator EngineMonitor::nextTarget()
{
    auto next = m_targets.end();
    for (auto it = m_targets.begin(); it != m_targets.end(); ++it) {
        if (!it->second.isBeingRead && (next == m_targets.end() || it->second.nextRead < next->second.nextRead))
            next = it;
    }
    return next;
}

void EngineMonitor::runWorker()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopped) {
        const auto next = nextTarget();
        if (next == m_targets.end()) {
            m_wake.wait(lock);
            continue;
        }
        const auto now = m_clock.now();
        if (next->second.nextRead > now) {
            m_wake.wait_for(lock, next->second.nextRead - now);
            continue;
        }
        const auto engine = next->first;
        const auto client = next->second.client;
        next->second.isBeingRead = true;
        next->second.nextRead = now + readInterval;
        lock.unlock();
        readLoadReport(engine, *client);
        lock.lock();
        if (const auto found = m_targets.find(engine); found != m_targets.end() && found->second.client == client) {
            found->second.isBeingRead = false;
            m_wake.notify_one();
        }
    }
}

void EngineMonitor::readLoadReport(const EngineId& engine, httplib::Client& client)
{
    auto response = client.Get("/v1/load");
    if (!response)
        response = client.Get("/v1/load");
    EngineObservation observation;
    observation.engine = engine;
    if (response && response->status == 200) {
        m_bytesExchanged += headerBytesPerRead + response->body.size();
        const auto parsed = parseLoadReport(engine, response->body);
        if (isOk(parsed))
            observation = value(parsed);
    }
    m_home.observe(observation);
}

}
