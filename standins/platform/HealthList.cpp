#include "HealthList.h"

#include <algorithm>

namespace borageslip::standin {

namespace {

    constexpr std::chrono::milliseconds checkInterval { 50 };
    constexpr size_t maxVersions = 1000;

    nlohmann::json consulEntry(const nlohmann::json& instance)
    {
        return {
            { "Service", {
                             { "ID", instance.value("id", "") },
                             { "Address", instance.value("address", "127.0.0.1") },
                             { "Port", instance.value("port", 0) },
                             { "Meta", instance.value("meta", nlohmann::json::object()) },
                         } },
            { "Checks", { { { "Status", instance.value("status", "passing") } } } },
        };
    }

    bool isPassing(const nlohmann::json& instance)
    {
        return instance.value("status", "passing") == "passing";
    }

}

HealthList::HealthList(std::chrono::milliseconds lag)
    : m_lag(lag)
{
}

nlohmann::json HealthList::latest(const std::string& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nlohmann::json::array() : found->second.back().instances;
}

void HealthList::publish(const std::string& service, nlohmann::json instances)
{
    auto& versions = m_services[service];
    versions.push_back({ std::chrono::steady_clock::now() + m_lag, ++m_index, std::move(instances) });
    if (versions.size() > maxVersions)
        versions.pop_front();
    m_changed.notify_all();
}

void HealthList::set(const std::string& service, const nlohmann::json& instances)
{
    const std::lock_guard lock(m_mutex);
    publish(service, instances);
}

void HealthList::put(const std::string& service, const nlohmann::json& instance)
{
    const std::lock_guard lock(m_mutex);
    auto instances = latest(service);
    const auto same = std::find_if(instances.begin(), instances.end(), [&](const auto& other) { return other.value("id", "") == instance.value("id", ""); });
    if (same == instances.end())
        instances.push_back(instance);
    else
        *same = instance;
    publish(service, std::move(instances));
}

void HealthList::remove(const std::string& service, const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    auto kept = nlohmann::json::array();
    for (const auto& instance : latest(service)) {
        if (instance.value("id", "") != id)
            kept.push_back(instance);
    }
    publish(service, std::move(kept));
}

const HealthList::Version* HealthList::visibleVersion(const std::string& service, SteadyTime now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return nullptr;
    const auto at = m_isFrozen ? m_frozenAt : now;
    const auto version = std::find_if(found->second.rbegin(), found->second.rend(), [&](const Version& v) { return v.visibleFrom <= at; });
    return version == found->second.rend() ? nullptr : &*version;
}

HealthList::ReadResult HealthList::read(const std::string& service, Filter filter, uint64_t afterIndex, std::chrono::milliseconds wait) const
{
    std::unique_lock lock(m_mutex);
    const auto deadline = std::chrono::steady_clock::now() + wait;
    auto now = std::chrono::steady_clock::now();
    const auto* version = visibleVersion(service, now);
    while (afterIndex != 0 && now < deadline && (!version || version->index <= afterIndex)) {
        m_changed.wait_until(lock, std::min(deadline, now + checkInterval));
        now = std::chrono::steady_clock::now();
        version = visibleVersion(service, now);
    }
    ReadResult result { nlohmann::json::array(), version ? version->index : 1 };
    if (!version)
        return result;
    for (const auto& instance : version->instances) {
        if (filter == Filter::All || isPassing(instance))
            result.instances.push_back(consulEntry(instance));
    }
    return result;
}

void HealthList::setFrozen(bool isFrozen)
{
    const std::lock_guard lock(m_mutex);
    if (isFrozen && !m_isFrozen)
        m_frozenAt = std::chrono::steady_clock::now();
    m_isFrozen = isFrozen;
}

}
