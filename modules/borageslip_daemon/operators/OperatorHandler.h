#pragma once

#include "../front/CallContext.h"
#include "../metrics/Metrics.h"

#include <functional>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace borageslip {

/** Serves the operator endpoints: health, readiness, metrics, status, objectives, decision traces and draining.

    Requests that change state require one of the operator keys. Thread-safe. */
class OperatorHandler {
public:
    /** Callbacks that supply the responses. They are called on any thread of the server. */
    struct Sources {
        std::function<bool()> isReady;
        std::function<std::string()> metrics;
        std::function<nlohmann::json()> status;
        std::function<nlohmann::json()> objectives;
        std::function<std::optional<nlohmann::json>(const std::string& request)> trace;
        std::function<void()> drain;
    };

    OperatorHandler(Sources, std::vector<std::string> keys);

    void registerRoutes(httplib::Server&);

private:
    bool isAuthorised(const httplib::Request&) const;

    const Sources m_sources;
    const std::vector<std::string> m_keys;
};

}
