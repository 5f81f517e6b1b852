#include "TrafficConfiguration.h"

#include "../http/HttpMessages.h"

#include <algorithm>

namespace borageslip {

const Route* TrafficConfiguration::route(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(host);
    if (found == m_routesByHost.end())
        return nullptr;
    for (const auto index : found->second) {
        if (path.starts_with(m_routes[index].pathPrefix))
            return &m_routes[index];
    }
    return nullptr;
}

const TrafficAccount* TrafficConfiguration::accountForKey(std::string_view key) const
{
    const auto found = m_accountByKey.find(key);
    return found == m_accountByKey.end() ? nullptr : &m_accounts[found->second];
}

const TrafficService* TrafficConfiguration::service(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

TrafficConfigurationBuilder& TrafficConfigurationBuilder::setVersion(uint64_t version)
{
    m_configuration.m_version = version;
    return *this;
}

TrafficConfigurationBuilder& TrafficConfigurationBuilder::setLimits(const CallerLimits& limits)
{
    m_configuration.m_limits = limits;
    return *this;
}

TrafficConfigurationBuilder& TrafficConfigurationBuilder::addRoute(Route route)
{
    m_configuration.m_routesByHost[route.host].push_back(m_configuration.m_routes.size());
    if (route.reusesPrefixes) {
        for (const auto& target : route.services)
            m_configuration.m_prefixServices.insert(target.service);
    }
    m_configuration.m_routes.push_back(std::move(route));
    return *this;
}

TrafficConfigurationBuilder& TrafficConfigurationBuilder::addService(TrafficService service)
{
    auto name = service.name;
    if (service.engine)
        m_configuration.m_prefixServices.insert(name);
    m_configuration.m_services.insert_or_assign(std::move(name), std::move(service));
    return *this;
}

TrafficConfigurationBuilder& TrafficConfigurationBuilder::requireKeys()
{
    m_configuration.m_requiresKeys = true;
    return *this;
}

TrafficConfigurationBuilder& TrafficConfigurationBuilder::addAccount(TrafficAccount account, std::span<const std::string> keys)
{
    requireKeys();
    if (!isFieldValue(account.name)) {
        m_configuration.m_unusableAccounts.push_back(std::move(account.name));
        return *this;
    }
    for (const auto& key : keys) {
        if (!m_configuration.m_accountByKey.emplace(key, m_configuration.m_accounts.size()).second)
            m_error = Error { ErrorKind::InvalidMessage, "client account \"" + account.name + "\" has a key that is already assigned" };
    }
    m_configuration.m_accounts.push_back(std::move(account));
    return *this;
}

Status TrafficConfigurationBuilder::checkRoutes() const
{
    for (const auto& route : m_configuration.m_routes) {
        if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
            return Error { ErrorKind::InvalidMessage, "route \"" + route.name + "\": the path prefix must start and end with a slash" };
        if (route.services.empty())
            return Error { ErrorKind::InvalidMessage, "route \"" + route.name + "\" has no service" };
        for (const auto& target : route.services) {
            if (m_configuration.service(target.service) == nullptr)
                return Error { ErrorKind::InvalidMessage, "route \"" + route.name + "\" refers to the unknown service \"" + target.service + "\"" };
        }
    }
    return ok();
}

Result<TrafficConfiguration> TrafficConfigurationBuilder::build()
{
    if (m_error)
        return *m_error;
    if (const auto checked = checkRoutes(); !isOk(checked))
        return error(checked);
    for (auto& [host, indexes] : m_configuration.m_routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](size_t first, size_t second) {
            return m_configuration.m_routes[first].pathPrefix.size() > m_configuration.m_routes[second].pathPrefix.size();
        });
    }
    return std::move(m_configuration);
}

}
