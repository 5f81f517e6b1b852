#pragma once

#include "Route.h"

#include <borageslip_core/errors/Result.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>

namespace borageslip {

/** Capacity of one model engine. */
struct EngineCapacity {
    int slots = 0;
    int64_t cacheTokens = 0;
};

/** A service and the limits of its backend servers. */
struct TrafficService {
    std::string name;
    int maxConnections = 0; ///< Per backend server, over all instances; 0: not limited.
    std::optional<EngineCapacity> engine {}; ///< Set only if the backend servers are model engines.
    double coldRequestsPerSecond = 0; ///< That a backend server can serve while it is cold; 0: not limited.
    std::chrono::milliseconds coldStart { 0 }; ///< For which a backend server is cold after its start.
};

/** Size limits and timeouts of requests from callers. */
struct CallerLimits {
    uint32_t maxHeaderBytes = 16 * 1024;
    uint64_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

/** The properties of a client account that the traffic path uses. */
struct TrafficAccount {
    std::string name;
    int priority = 0; ///< 0 is the most urgent; takes precedence over the priority of the route.
};

/** Routes, services, client accounts and limits of one configuration version. Immutable once built.
    @see TrafficConfigurationBuilder */
class TrafficConfiguration {
public:
    uint64_t version() const { return m_version; }
    const CallerLimits& limits() const { return m_limits; }

    /** Returns the route of the host with the longest prefix of the path, or null. */
    const Route* route(std::string_view host, std::string_view path) const;

    /** Returns the client account to which the API key belongs, or null. */
    const TrafficAccount* accountForKey(std::string_view key) const;

    const TrafficService* service(std::string_view name) const;
    const std::map<std::string, TrafficService, std::less<>>& services() const { return m_services; }

    /** Whether the service has model engines or receives requests that are placed by their prompt prefixes. */
    bool reusesPrefixes(std::string_view service) const { return m_prefixServices.contains(service); }

    /** Whether requests need an API key, unless their route allows anonymous requests. So it is if the configuration lists
        client accounts, also where the list is empty and no key is valid. */
    bool requiresKeys() const { return m_requiresKeys; }

    /** Names of the client accounts that were left out because the name cannot be the value of a header field. */
    std::span<const std::string> unusableAccounts() const { return m_unusableAccounts; }

    std::span<const Route> routes() const { return m_routes; }
    size_t keyCount() const { return m_accountByKey.size(); }

private:
    friend class TrafficConfigurationBuilder;

    uint64_t m_version = 0;
    CallerLimits m_limits;
    std::vector<Route> m_routes;
    std::map<std::string, std::vector<size_t>, std::less<>> m_routesByHost; ///< Indexes into m_routes, longest path prefix first.
    std::map<std::string, TrafficService, std::less<>> m_services;
    std::set<std::string, std::less<>> m_prefixServices;
    bool m_requiresKeys = false;
    std::vector<TrafficAccount> m_accounts;
    std::vector<std::string> m_unusableAccounts;
    std::map<std::string, size_t, std::less<>> m_accountByKey;
};

/** Builds a TrafficConfiguration and validates the references between its parts. */
class TrafficConfigurationBuilder {
public:
    TrafficConfigurationBuilder& setVersion(uint64_t);
    TrafficConfigurationBuilder& setLimits(const CallerLimits&);
    TrafficConfigurationBuilder& addRoute(Route);
    TrafficConfigurationBuilder& addService(TrafficService);

    /** States that there is a list of client accounts, which may be empty. */
    TrafficConfigurationBuilder& requireKeys();

    /** Also requires keys. An account whose name cannot be sent to a backend server is left out, so that its keys are
        unknown. */
    TrafficConfigurationBuilder& addAccount(TrafficAccount, std::span<const std::string> keys);

    /** Errors: InvalidMessage for a route without a service or with an unknown one, a path prefix that does not start
        and end with a slash, or a key that is assigned twice. */
    Result<TrafficConfiguration> build();

private:
    Status checkRoutes() const;

    TrafficConfiguration m_configuration;
    std::optional<Error> m_error {};
};

}
