#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace borageslip::standin {

/** Instance lists of services with their health, as the Consul health API returns them.

    Changes become visible after a configured delay, and not at all while the lists are frozen. Thread-safe. */
class HealthList {
public:
    enum class Filter {
        All,
        PassingOnly,
    };

    struct ReadResult {
        nlohmann::json instances;
        uint64_t index;
    };

    explicit HealthList(std::chrono::milliseconds lag);

    /** Replaces the instances of a service.

        @param instances objects with id, address, port, meta and status; the default status is "passing". */
    void set(const std::string& service, const nlohmann::json& instances);

    /** Adds an instance, or replaces the instance with the same id. */
    void put(const std::string& service, const nlohmann::json& instance);
    void remove(const std::string& service, const std::string& id);

    ReadResult read(const std::string& service, Filter, uint64_t afterIndex, std::chrono::milliseconds wait) const;

    void setFrozen(bool isFrozen);

private:
    using SteadyTime = std::chrono::steady_clock::time_point;

    struct Version {
        SteadyTime visibleFrom;
        uint64_t index;
        nlohmann::json instances;
    };

    void publish(const std::string& service, nlohmann::json instances);
    nlohmann::json latest(const std::string& service) const;
    const Version* visibleVersion(const std::string& service, SteadyTime now) const;

    const std::chrono::milliseconds m_lag;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    std::map<std::string, std::deque<Version>> m_services;
    uint64_t m_index = 1;
    bool m_isFrozen = false;
    SteadyTime m_frozenAt;
};

}
