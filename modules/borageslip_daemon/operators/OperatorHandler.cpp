#include "OperatorHandler.h"

#include <borageslip_request/borageslip_request.h>

namespace borageslip {

OperatorHandler::OperatorHandler(Sources sources, std::vector<std::string> keys)
    : m_sources(std::move(sources))
    , m_keys(std::move(keys))
{
}

bool OperatorHandler::isAuthorised(const httplib::Request& request) const
{
    const auto presented = bearerKey(request);
    bool isAccepted = false;
    for (const auto& key : m_keys)
        isAccepted |= equalsInConstantTime(key, presented);
    return isAccepted;
}

void OperatorHandler::registerRoutes(httplib::Server& server)
{
    server.Get("/healthz", [](const httplib::Request&, httplib::Response& response) { response.set_content("ok\n", "text/plain"); });
    server.Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
        const bool isReady = m_sources.isReady();
        response.status = isReady ? 200 : 503;
        response.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
    });
    server.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) { response.set_content(m_sources.metrics(), "text/plain; version=0.0.4"); });
    server.Get("/operator/status", [this](const httplib::Request&, httplib::Response& response) { response.set_content(m_sources.status().dump(), "application/json"); });
    server.Get("/operator/objectives", [this](const httplib::Request&, httplib::Response& response) { response.set_content(m_sources.objectives().dump(), "application/json"); });
    server.Get(R"(/operator/explain/([A-Za-z0-9_-]+))", [this](const httplib::Request& request, httplib::Response& response) {
        const auto trace = m_sources.trace(request.matches[1]);
        if (!trace)
            return respondWithError(response, { ErrorKind::NotFound, "this instance holds no trace of the request" }, request.matches[1].str());
        response.set_content(trace->dump(), "application/json");
    });
    server.Post("/operator/drain", [this](const httplib::Request& request, httplib::Response& response) {
        if (!isAuthorised(request))
            return respondWithError(response, { ErrorKind::Unauthenticated, "the operator key is missing or invalid" }, "");
        m_sources.drain();
        response.status = 202;
        response.set_content("{\"state\":\"leaving\"}", "application/json");
    });
}

}
