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

/** Lists of the instances of health services, shown with a lag or frozen. Thread-safe. */
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

    /** Replaces a service's instances: objects with id, address, port, meta and status ("passing" when absent). */
    void set(const std::string& service, const nlohmann::json& instances);

    /** Adds an instance or replaces the one with its id. */
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
