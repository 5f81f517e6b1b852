#include "Error.h"

#include <nlohmann/json.hpp>

namespace borageslip {

std::string problemDetails(const Error& error, std::string_view requestId)
{
    const auto& traits = errorTraits(error.kind);
    nlohmann::json body {
        { "type", "urn:borageslip:error:" + std::string(traits.name) },
        { "title", traits.title },
        { "status", traits.httpStatus },
        { "detail", error.detail },
        { "kind", traits.name },
        { "not_run", traits.execution == Execution::NotRun },
        { "request", requestId },
    };
    if (error.retryAfter)
        body["retry_after_ms"] = error.retryAfter->count();
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
