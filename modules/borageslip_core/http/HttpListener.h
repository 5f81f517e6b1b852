#pragma once

#include "../errors/Result.h"
#include "BoundedTaskQueue.h"

#include <chrono>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>

namespace borageslip {

/** An HTTP server on its own thread: cpp-httplib with a deep accept queue, a bounded pool and typed refusals.

    Register routes through server() before start(). stop() waits for the requests in progress.
    @see BoundedTaskQueue */
class HttpListener {
public:
    struct Limits {
        BoundedTaskQueue::Limits pool;
        size_t maxBodyBytes = 8 * 1024 * 1024;
        std::chrono::seconds readTimeout { 10 };
        std::chrono::seconds writeTimeout { 10 };
        std::chrono::seconds keepAliveTimeout { 5 };
        size_t maxRequestsPerConnection = 1000;
    };

    explicit HttpListener(Limits);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    httplib::Server& server();

    /** Binds and starts to accept.
        @param port 0 takes any free port.
        Errors: InvalidSettings when the address cannot be bound. */
    Result<int> start(const std::string& host, int port);

    /** Stops accepting and waits for the requests in progress. Safe to repeat. */
    void stop();

    int port() const { return m_port; }

private:
    class DeepBacklogServer;

    std::unique_ptr<DeepBacklogServer> m_server;
    std::thread m_thread;
    int m_port = 0;
};

/** Answers with problem details for the error, `Retry-After` included. */
void respondWithError(httplib::Response&, const Error&, std::string_view requestId);

}
