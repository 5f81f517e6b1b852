#include "ServiceServer.h"

#include "common/ConnectionDrop.h"
#include "common/StandinProgram.h"

#include <thread>

namespace borageslip::standin {

namespace {

    constexpr std::chrono::milliseconds pollTime { 100 };
    constexpr size_t maxRecords = 1'000'000;

}

ServiceServer::ServiceServer(std::string name, uint64_t seed, httplib::Server& server)
    : m_name(std::move(name))
    , m_random(seed)
{
    server.Post("/control", [this](const httplib::Request& request, httplib::Response& response) {
        if (const auto changes = parseObject(request, response))
            respondWithJson(response, control(*changes));
    });
    server.Get("/records", [this](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(m_mutex);
        respondWithJson(response, { { "service", m_name }, { "executions", m_executions } });
    });
    server.Delete("/records", [this](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(m_mutex);
        m_executions = nlohmann::json::array();
        response.status = 204;
    });
    const auto handler = [this](const httplib::Request& request, httplib::Response& response) { call(request, response); };
    server.Get(".*", handler);
    server.Post(".*", handler);
    server.Put(".*", handler);
    server.Patch(".*", handler);
    server.Delete(".*", handler);
}

void ServiceServer::call(const httplib::Request& request, httplib::Response& response)
{
    const auto faults = faultsForCall();
    if (faults.isRefusing)
        return respondWithJson(response, { { "error", "unavailable" } }, 503);
    if (faults.dropsBeforeExecution)
        return dropConnection(request);
    std::this_thread::sleep_for(faults.slow);
    const auto outcome = execute(request);
    if (faults.isSilentAfterExecution) {
        const auto isSilent = [this] {
            const std::lock_guard lock(m_mutex);
            return m_faults.isSilentAfterExecution;
        };
        while (isSilent())
            std::this_thread::sleep_for(pollTime);
        return dropConnection(request);
    }
    if (faults.dropsAfterExecution)
        return dropConnection(request);
    respondWithJson(response, outcome);
}

nlohmann::json ServiceServer::execute(const httplib::Request& request)
{
    const std::lock_guard lock(m_mutex);
    const auto key = request.get_header_value("Idempotency-Key");
    nlohmann::json outcome { { "number", ++m_executionCount }, { "service", m_name }, { "key", key }, { "path", request.path } };
    if (m_executions.size() < maxRecords) {
        m_executions.push_back({
            { "number", m_executionCount },
            { "method", request.method },
            { "path", request.path },
            { "key", key },
            { "request", request.get_header_value("X-Request-Id") },
            { "at_us", wallMicroseconds() },
        });
    }
    return outcome;
}

ServiceServer::Faults ServiceServer::faultsForCall()
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(m_random() % 100) < m_faults.percent ? m_faults : Faults {};
}

nlohmann::json ServiceServer::control(const nlohmann::json& changes)
{
    const std::lock_guard lock(m_mutex);
    m_faults.slow = std::chrono::milliseconds(std::max<int64_t>(0, changes.value("slow_ms", m_faults.slow.count())));
    m_faults.isSilentAfterExecution = changes.value("silent_after_execution", m_faults.isSilentAfterExecution);
    m_faults.isRefusing = changes.value("refuse", m_faults.isRefusing);
    m_faults.dropsBeforeExecution = changes.value("drop_before_execution", m_faults.dropsBeforeExecution);
    m_faults.dropsAfterExecution = changes.value("drop_after_execution", m_faults.dropsAfterExecution);
    m_faults.percent = changes.value("fault_percent", m_faults.percent);
    return {
        { "slow_ms", m_faults.slow.count() },
        { "silent_after_execution", m_faults.isSilentAfterExecution },
        { "refuse", m_faults.isRefusing },
        { "drop_before_execution", m_faults.dropsBeforeExecution },
        { "drop_after_execution", m_faults.dropsAfterExecution },
        { "fault_percent", m_faults.percent },
    };
}

}
