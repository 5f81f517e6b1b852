#pragma once

#include <borageslip_core/borageslip_core.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>

namespace borageslip::standin {

/** Simulates an HTTP service that executes and records every call, regardless of method and path.

    `/control` and `/records` are reserved for tests. */
class ServiceServer {
public:
    ServiceServer(std::string name, uint64_t seed, httplib::Server&);
    ServiceServer(const ServiceServer&) = delete;
    ServiceServer& operator=(const ServiceServer&) = delete;

private:
    struct Faults {
        std::chrono::milliseconds slow { 0 };
        bool isSilentAfterExecution = false;
        bool isRefusing = false;
        bool dropsBeforeExecution = false;
        bool dropsAfterExecution = false;
        int percent = 100;
    };

    void call(const httplib::Request&, httplib::Response&);
    nlohmann::json execute(const httplib::Request&);
    Faults faultsForCall();
    nlohmann::json control(const nlohmann::json& changes);

    const std::string m_name;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    Faults m_faults;
    uint64_t m_executionCount = 0;
    nlohmann::json m_executions = nlohmann::json::array();
};

}
