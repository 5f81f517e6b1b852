#pragma once

#include <CLI/CLI.hpp>
#include <borageslip_core/borageslip_core.h>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace borageslip::standin {

/** Command-line options common to all stand-ins. */
struct ProgramOptions {
    int port = 0;
    int maxSeconds = 600;
    size_t threads = 1024;
};

void addProgramOptions(CLI::App&, ProgramOptions&);

HttpListener::Limits listenerLimits(const ProgramOptions&);

/** Blocks SIGTERM and SIGINT in this thread and in the threads that it starts later.

    Call this before starting any thread, so that serveUntilStopped() alone receives the signals. */
void blockStopSignals();

/** Starts the listener on loopback, prints `listening <port>` and waits for SIGTERM, SIGINT or the time limit.

    Then exits the process without waiting for open connections, which closes them. Returns only if the address cannot
    be bound.

    @return the exit status 1, for a failure to bind. */
int serveUntilStopped(HttpListener&, const ProgramOptions&);

void respondWithJson(httplib::Response&, const nlohmann::json&, int status = 200);

/** Parses the body of a request as a JSON object. If it is not one, sets a 400 response and returns std::nullopt. */
std::optional<nlohmann::json> parseObject(const httplib::Request&, httplib::Response&);

/** Returns the system time in microseconds since 1970 (the Unix epoch), so that records of different processes can be
    compared. */
int64_t wallMicroseconds();

}
