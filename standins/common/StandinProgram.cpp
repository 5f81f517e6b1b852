#include "StandinProgram.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace borageslip::standin {

void addProgramOptions(CLI::App& app, ProgramOptions& options)
{
    app.add_option("--port", options.port, "Loopback port to listen on; 0 selects any free port")->check(CLI::Range(0, 65535));
    app.add_option("--max-seconds", options.maxSeconds, "Time after which the program exits, in seconds")->check(CLI::Range(1, 86400));
    app.add_option("--threads", options.threads, "Maximum number of connections served concurrently")->check(CLI::Range(1, 4096));
}

HttpListener::Limits listenerLimits(const ProgramOptions& options)
{
    HttpListener::Limits limits;
    limits.pool.maxThreads = options.threads;
    limits.maxRequestsPerConnection = 1'000'000;
    return limits;
}

void blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int serveUntilStopped(HttpListener& listener, const ProgramOptions& options)
{
    const auto port = listener.start("127.0.0.1", options.port);
    if (!isOk(port)) {
        std::cerr << error(port).detail << '\n';
        return 1;
    }
    std::cout << "listening " << value(port) << std::endl;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    const timespec limit { options.maxSeconds, 0 };
    sigtimedwait(&signals, nullptr, &limit);
    // Models the exit of a backend server, which cuts open streams; so it does not wait for them to finish.
    std::cout.flush();
    std::_Exit(0);
}

void respondWithJson(httplib::Response& response, const nlohmann::json& body, int status)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

std::optional<nlohmann::json> parseObject(const httplib::Request& request, httplib::Response& response)
{
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (body.is_object())
        return body;
    respondWithJson(response, { { "error", "the request body is not a JSON object" } }, 400);
    return std::nullopt;
}

int64_t wallMicroseconds()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

}
