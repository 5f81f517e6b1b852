#include "CallContext.h"

#include <algorithm>
#include <borageslip_request/borageslip_request.h>
#include <cctype>

namespace borageslip {

namespace {
    constexpr size_t maxRequestIdLength = 64;

    bool isValidRequestId(const std::string& text)
    {
        if (text.empty() || text.size() > maxRequestIdLength)
            return false;
        return std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; });
    }
}

std::string_view bearerKey(const httplib::Request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto found = request.headers.find("Authorization");
    if (found == request.headers.end() || !std::string_view(found->second).starts_with(scheme))
        return {};
    return std::string_view(found->second).substr(scheme.size());
}

std::optional<Error> openCall(const httplib::Request& request, const CallGate& gate, const FleetViewHolder& fleet, const Clock& clock, CallContext& context)
{
    const auto callerRequestId = request.get_header_value("X-Request-Id");
    // The caller's own id is only a suffix, because two callers may choose the same one.
    context.request = RequestId(isValidRequestId(callerRequestId) ? randomIdentity() + "-" + callerRequestId : randomIdentity());
    context.receivedAt = clock.now();
    if (auto refusal = gate.refusal())
        return refusal;
    context.fleet = fleet.current();
    if (!context.fleet)
        return Error { ErrorKind::NoConfiguration, "no configuration is in force on this instance", std::chrono::milliseconds(1000) };
    const auto* account = context.fleet->configuration().accountForKey(bearerKey(request));
    if (!account)
        return Error { ErrorKind::Unauthenticated, "the bearer key does not belong to any client account" };
    context.account = account->id;
    context.accountSettings = account;
    return std::nullopt;
}

}
