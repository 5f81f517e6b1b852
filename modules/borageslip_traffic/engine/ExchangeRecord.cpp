#include "ExchangeRecord.h"

#include <nlohmann/json.hpp>

namespace borageslip {

namespace {

    nlohmann::json placementJson(const ExchangeRecord::Placement& placement)
    {
        return { { "choice", choiceReasonName(placement.reason) }, { "prefix", placement.prefix }, { "uncached_tokens", placement.uncachedTokens } };
    }

}

void ExchangeRecord::recordSend(const BackendServer& server, const TrafficEngine& engine, const Placement& placement)
{
    m_sends.push_back({ server.description().id, server.inFlight(), toMilliseconds(engine.clock().now() - m_arrivedAt), toMilliseconds(engine.storeDataAge()), toMilliseconds(engine.loadAge()), placement, engine.meanInFlight(server.description().service) });
}

void ExchangeRecord::log(Severity severity, std::string_view event, std::string_view outcome, std::string_view detail, const TrafficEngine& engine, const AdmittedRequest& admitted) const
{
    auto sends = nlohmann::json::array();
    for (const auto& send : m_sends) {
        sends.push_back({ { "server", send.server }, { "in_flight", send.inFlight }, { "after_ms", send.after.count() }, { "knowledge_age_ms", send.storeDataAge.count() }, { "load_age_ms", send.loadAge.count() }, { "mean", send.meanInFlight } });
        if (send.placement.prefix != 0)
            sends.back().update(placementJson(send.placement));
    }
    nlohmann::json fields {
        { "request", m_requestId },
        { "outcome", outcome },
        { "duration_ms", toMilliseconds(engine.clock().now() - m_arrivedAt).count() },
        { "waited_ms", toMilliseconds(m_waited).count() },
        { "knowledge_age_ms", toMilliseconds(engine.storeDataAge()).count() },
        { "sends", std::move(sends) },
    };
    if (!m_coordinator.empty())
        fields["coordinator"] = m_coordinator;
    if (!detail.empty())
        fields["detail"] = detail;
    if (admitted.route != nullptr) {
        fields["route"] = admitted.route->name;
        fields["service"] = admitted.service;
        fields["account"] = admitted.account;
        fields["configuration"] = admitted.configuration->version();
    } else if (engine.configuration()) {
        fields["configuration"] = engine.configuration()->version();
    }
    logEvent(severity, event, fields);
}

}
