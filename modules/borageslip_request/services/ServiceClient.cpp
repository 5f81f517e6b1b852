#include "ServiceClient.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <httplib.h>
#include <string_view>

namespace borageslip {

namespace {

    constexpr std::array<std::string_view, 11> hopByHopHeaders {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    };

    std::string lowerCase(std::string_view text)
    {
        std::string lower(text);
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return lower;
    }

    /** Appends the header names listed in the comma-separated value of a Connection header. */
    void appendNames(std::string_view list, std::vector<std::string>& names)
    {
        while (!list.empty()) {
            const auto comma = std::min(list.find(','), list.size());
            auto name = list.substr(0, comma);
            while (name.starts_with(' '))
                name.remove_prefix(1);
            while (name.ends_with(' '))
                name.remove_suffix(1);
            names.push_back(lowerCase(name));
            list.remove_prefix(std::min(comma + 1, list.size()));
        }
    }

    httplib::Request httpRequest(const ServiceRequest& call)
    {
        httplib::Request request;
        request.method = call.method;
        request.path = call.target;
        request.body = call.body;
        for (const auto& [name, field] : endToEndHeaders(call.headers))
            request.headers.emplace(name, field);
        // Stops httplib from requesting a content encoding that the caller did not accept.
        if (!request.has_header("Accept-Encoding"))
            request.set_header("Accept-Encoding", "identity");
        return request;
    }

}

std::vector<std::pair<std::string, std::string>> endToEndHeaders(std::span<const std::pair<std::string, std::string>> headers)
{
    std::vector<std::string> dropped(hopByHopHeaders.begin(), hopByHopHeaders.end());
    for (const auto& [name, field] : headers) {
        if (lowerCase(name) == "connection")
            appendNames(field, dropped);
    }
    std::vector<std::pair<std::string, std::string>> kept;
    for (const auto& header : headers) {
        if (std::find(dropped.begin(), dropped.end(), lowerCase(header.first)) == dropped.end())
            kept.push_back(header);
    }
    return kept;
}

ServiceClient::ServiceClient(const Clock& clock, Settings settings)
    : m_clock(&clock)
    , m_settings(settings)
{
}

ServiceClient::~ServiceClient() = default;

Result<RecordedOutcome> ServiceClient::call(const ServiceRequest& request)
{
    const Address address { request.host, request.port };
    const bool isRetryAllowed = request.retryPolicy == ServiceRequest::RetryPolicy::Allowed;
    if (isRetryAllowed) {
        // The service may have closed the idle connection, which shows only after bytes may have been sent. Retry once
        // on a new connection.
        if (auto idle = takeIdleConnection(address)) {
            auto result = callOn(*idle, request);
            if (isOk(result)) {
                storeIdleConnection(address, std::move(idle));
                return result;
            }
            if (error(result).kind != ErrorKind::ServiceFailed)
                return result;
        }
    }
    auto fresh = std::make_unique<httplib::Client>(request.host, request.port);
    fresh->set_connection_timeout(m_settings.connectTimeout);
    fresh->set_keep_alive(isRetryAllowed);
    fresh->set_tcp_nodelay(true);
    fresh->set_decompress(false);
    fresh->set_url_encode(false);
    auto result = callOn(*fresh, request);
    if (isRetryAllowed && isOk(result))
        storeIdleConnection(address, std::move(fresh));
    return result;
}

Result<RecordedOutcome> ServiceClient::callOn(httplib::Client& client, const ServiceRequest& call) const
{
    const auto startedAt = m_clock->now();
    auto timeout = m_settings.livenessTimeout;
    if (call.deadline != TimePoint::max())
        timeout = std::min(timeout, std::chrono::ceil<std::chrono::milliseconds>(call.deadline - startedAt));
    if (timeout <= std::chrono::milliseconds::zero())
        return Error { ErrorKind::DeadlineBeforeStart, "the deadline passed before the call was sent" };
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);

    auto request = httpRequest(call);
    std::string body;
    bool isTooLarge = false;
    auto lastByteAt = startedAt;
    request.response_handler = [&](const httplib::Response&) {
        lastByteAt = m_clock->now();
        return true;
    };
    request.content_receiver = [&](const char* data, size_t length, uint64_t, uint64_t) {
        lastByteAt = m_clock->now();
        isTooLarge = body.size() + length > m_settings.maxBodyBytes;
        if (isTooLarge || lastByteAt >= call.deadline)
            return false;
        body.append(data, length);
        return true;
    };
    httplib::Response response;
    auto httpError = httplib::Error::Success;
    const bool isAnswered = client.send(request, response, httpError);

    const auto peer = call.host + ":" + std::to_string(call.port);
    if (httpError == httplib::Error::Connection || httpError == httplib::Error::ConnectionTimeout)
        return Error { ErrorKind::ServiceUnreachable, "cannot connect to " + peer };
    if (!isAnswered) {
        if (isTooLarge)
            return Error { ErrorKind::ServiceFailed, "the response of " + peer + " exceeds the size limit" };
        if (m_clock->now() >= call.deadline)
            return Error { ErrorKind::DeadlineExceeded, "the deadline passed before " + peer + " answered" };
        if (m_clock->now() - lastByteAt >= timeout)
            return Error { ErrorKind::ConnectionSilent, "no data from " + peer + " within the liveness timeout" };
        return Error { ErrorKind::ServiceFailed, "the connection to " + peer + " closed before the response was complete" };
    }
    const std::vector<std::pair<std::string, std::string>> headers(response.headers.begin(), response.headers.end());
    return RecordedOutcome { response.status, endToEndHeaders(headers), std::move(body) };
}

std::unique_ptr<httplib::Client> ServiceClient::takeIdleConnection(const Address& address)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_idle.find(address);
    if (found == m_idle.end() || found->second.empty())
        return nullptr;
    auto client = std::move(found->second.back());
    found->second.pop_back();
    return client;
}

void ServiceClient::storeIdleConnection(const Address& address, std::unique_ptr<httplib::Client> client)
{
    const std::lock_guard lock(m_mutex);
    auto& idle = m_idle[address];
    if (idle.size() < m_settings.maxIdlePerService)
        idle.push_back(std::move(client));
}

}
