#include "InstanceList.h"

#include <algorithm>
#include <borageslip_core/encoding/PercentEncoding.h>
#include <nlohmann/json.hpp>

namespace borageslip {

namespace {

    bool hasCriticalCheck(const nlohmann::json& item)
    {
        const auto checks = item.find("Checks");
        if (checks == item.end() || !checks->is_array())
            return false;
        return std::ranges::any_of(*checks, [](const nlohmann::json& check) { return check.is_object() && check.value("Status", "") == "critical"; });
    }

    Instance instanceFromJson(const nlohmann::json& service)
    {
        Instance instance { service.at("ID"), service.at("Address").get<std::string>() + ":" + std::to_string(service.at("Port").get<int>()), {}, {} };
        if (const auto meta = service.find("Meta"); meta != service.end() && meta->is_object())
            instance.meta = meta->get<std::map<std::string, std::string>>();
        const auto state = instance.meta.find("state");
        if (state != instance.meta.end() && state->second == "leaving")
            instance.state = Instance::State::Leaving;
        return instance;
    }

}

InstanceList::InstanceList(ConsulConnection::Settings settings, CallBudget& budget)
    : m_connection(std::move(settings), budget)
{
}

Result<std::vector<Instance>> InstanceList::fetch(std::string_view service) const
{
    const auto result = m_connection.perform({ PlatformCall::Instances, "GET", "/v1/health/service/" + percentEncode(service) });
    if (!isOk(result))
        return error(result);
    std::vector<Instance> instances;
    if (value(result).status == 404)
        return instances;
    try {
        for (const auto& item : nlohmann::json::parse(value(result).body)) {
            if (!hasCriticalCheck(item))
                instances.push_back(instanceFromJson(item.at("Service")));
        }
    } catch (const nlohmann::json::exception&) {
        return Error { ErrorKind::StoreUnavailable, "the platform's instance list could not be decoded" };
    }
    return instances;
}

}
