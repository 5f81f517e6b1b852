#include "HttpListener.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace borageslip {

namespace {

    // cpp-httplib listens with a backlog of 5, which drops connections when some hundred callers connect at once.
    constexpr int acceptBacklog = 4096;

    constexpr std::chrono::milliseconds overflowRetryAfter { 1000 };

    void allowAddressReuse(socket_t socket)
    {
        // The library's default also sets SO_REUSEPORT, which lets a second process take over half of the connections.
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    }

}

class HttpListener::DeepBacklogServer final : public httplib::Server {
public:
    bool deepenBacklog() { return ::listen(svr_sock_, acceptBacklog) == 0; }
};

HttpListener::HttpListener(Limits limits)
    : m_server(std::make_unique<DeepBacklogServer>())
{
    m_server->new_task_queue = [limits] { return new BoundedTaskQueue(limits.pool); };
    m_server->set_payload_max_length(limits.maxBodyBytes);
    m_server->set_read_timeout(limits.readTimeout);
    m_server->set_write_timeout(limits.writeTimeout);
    m_server->set_keep_alive_timeout(limits.keepAliveTimeout.count());
    m_server->set_keep_alive_max_count(limits.maxRequestsPerConnection);
    m_server->set_tcp_nodelay(true);
    m_server->set_socket_options(allowAddressReuse);
    m_server->set_pre_routing_handler([](const httplib::Request&, httplib::Response& response) {
        if (!BoundedTaskQueue::isOverflowThread())
            return httplib::Server::HandlerResponse::Unhandled;
        response.set_header("Connection", "close");
        respondWithError(response, { ErrorKind::Overloaded, "too many open connections", overflowRetryAfter }, "");
        return httplib::Server::HandlerResponse::Handled;
    });
}

HttpListener::~HttpListener()
{
    stop();
}

httplib::Server& HttpListener::server()
{
    return *m_server;
}

Result<int> HttpListener::start(const std::string& host, int port)
{
    if (port == 0)
        m_port = m_server->bind_to_any_port(host);
    else
        m_port = m_server->bind_to_port(host, port) ? port : -1;
    if (m_port <= 0 || !m_server->deepenBacklog())
        return Error { ErrorKind::InvalidSettings, "cannot listen on " + host + ":" + std::to_string(port) };
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    // stop() has no effect before the accept loop runs.
    while (!m_server->is_running())
        std::this_thread::yield();
    return m_port;
}

void HttpListener::stop()
{
    if (!m_thread.joinable())
        return;
    m_server->stop();
    m_thread.join();
}

void respondWithError(httplib::Response& response, const Error& error, std::string_view requestId)
{
    response.status = errorTraits(error.kind).httpStatus;
    if (error.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter);
        response.set_header("Retry-After", std::to_string(seconds.count()));
    }
    response.set_content(problemDetails(error, requestId), "application/problem+json");
}

}
