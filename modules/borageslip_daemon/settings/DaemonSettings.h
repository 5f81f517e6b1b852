#pragma once

#include <borageslip_core/borageslip_core.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** An IP address and a port. */
struct Endpoint {
    std::string host;
    int port = 0;

    /** Parses "ip:port". The text must be valid; it is not checked here. */
    static Endpoint parse(std::string_view text);
    std::string text() const { return host + ":" + std::to_string(port); }
};

/** Settings of one daemon, read from a JSON file that conforms to schemas/daemon.schema.json. */
struct DaemonSettings {
    std::string id;
    Region region;
    FailureDomain failureDomain;
    Endpoint callers;
    Endpoint inner;
    Endpoint operators;
    Endpoint gossip;
    Endpoint store;
    std::vector<std::string> seeds;
    std::vector<std::string> innerKeys;
    std::vector<std::string> ticketKeys;
    std::vector<std::string> operatorKeys;
    size_t callerThreads = 2048;
    size_t homeThreads = 2048;
    size_t maxBodyBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds requestDeadline { 30000 };
    std::chrono::seconds drainDeadline { 600 };
    std::string logLevel = "info";

    /** Reads and validates a settings file. Errors: InvalidSettings, with the path of every invalid field. */
    static Result<DaemonSettings> read(const std::string& path);
    static Result<DaemonSettings> parse(std::string_view json);
};

}
