#include "ConsulConnection.h"

#include <charconv>
#include <httplib.h>

namespace borageslip {

namespace {

    constexpr std::chrono::milliseconds defaultRetryAfter { 1000 };

    template <typename T>
    std::optional<T> parseNumber(std::string_view text)
    {
        T number {};
        const auto* const end = text.data() + text.size();
        const auto [stop, status] = std::from_chars(text.data(), end, number);
        return status == std::errc() && stop == end ? std::optional(number) : std::nullopt;
    }

    bool isConnectFailure(httplib::Error failure)
    {
        return failure == httplib::Error::Connection || failure == httplib::Error::ConnectionTimeout || failure == httplib::Error::BindIPAddress;
    }

}

ConsulConnection::ConsulConnection(Settings settings, CallBudget& budget)
    : m_settings(std::move(settings))
    , m_budget(budget)
{
}

Result<ConsulConnection::Answer> ConsulConnection::perform(const Request& request) const
{
    if (const auto status = m_budget.take(request.call); !isOk(status))
        return error(status);
    httplib::Client client(m_settings.host, m_settings.port);
    client.set_url_encode(false);
    client.set_connection_timeout(m_settings.connectTimeout);
    client.set_read_timeout(m_settings.readTimeout + request.extraReadTime);
    client.set_write_timeout(m_settings.readTimeout);
    client.set_tcp_nodelay(true);

    httplib::Request message;
    message.method = request.method;
    message.path = request.target;
    message.body = request.body;
    const auto result = client.send(message);
    const bool isWrite = request.method != "GET";
    const auto lost = isWrite ? ErrorKind::StoreOutcomeUnknown : ErrorKind::StoreUnavailable;
    if (!result) {
        const auto detail = "platform store: " + httplib::to_string(result.error());
        return Error { isConnectFailure(result.error()) ? ErrorKind::StoreUnavailable : lost, detail };
    }
    if (result->status == 429) {
        const auto seconds = parseNumber<int>(result->get_header_value("Retry-After"));
        const auto wait = seconds ? std::chrono::milliseconds(std::chrono::seconds(*seconds)) : defaultRetryAfter;
        return Error { ErrorKind::StoreUnavailable, "the platform store is over its rate limit", wait };
    }
    if (result->status == 200 || result->status == 404)
        return Answer { result->status, result->body, parseNumber<uint64_t>(result->get_header_value("X-Consul-Index")).value_or(0) };
    if (result->body.find("invalid session") != std::string::npos)
        return Error { ErrorKind::LeaseLost, "the platform store does not know the session" };
    // A server error can follow a write that was committed, so it does not prove that nothing happened.
    const bool isServerError = result->status >= 500;
    return Error { isServerError ? lost : ErrorKind::StoreUnavailable, "platform store answered with status " + std::to_string(result->status) };
}

}
