#pragma once

#include "Route.h"

#include <borageslip_core/errors/Result.h>

#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace borageslip {

/** What a model engine can hold at once. */
struct EngineCapacity {
    int slots = 0;
    int64_t cacheTokens = 0;
};

/** A service and how its backend servers are reached. */
struct TrafficService {
    std::string name;
    int maxConnections = 0; ///< Of one backend server, over all instances; 0: not limited.
    std::optional<EngineCapacity> engine {}; ///< Present for services of model engines.
};

/** Bounds of what a caller may send. */
struct CallerLimits {
    uint32_t maxHeaderBytes = 16 * 1024;
    uint64_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 3000 };
    std::chrono::milliseconds idleTimeout { 15000 };
};

/** A client account as the traffic path needs it. */
struct TrafficAccount {
    std::string name;
    int priority = 0; ///< 0 is the most urgent; goes before the route's priority.
};

/** The configuration in force: routes, services, client accounts and limits. Immutable once built.
    @see TrafficConfigurationBuilder */
class TrafficConfiguration {
public:
    uint64_t version() const { return m_version; }
    const CallerLimits& limits() const { return m_limits; }

    /** Returns the route of the host whose path prefix is the longest that begins the path, or null. */
    const Route* route(std::string_view host, std::string_view path) const;

    /** Returns the client account that holds the key, or null. */
    const TrafficAccount* accountForKey(std::string_view key) const;

    const TrafficService* service(std::string_view name) const;

    /** Whether requests need a key unless their route allows anonymous ones. */
    bool hasAccounts() const { return !m_accounts.empty(); }

    std::span<const Route> routes() const { return m_routes; }
    size_t keyCount() const { return m_accountByKey.size(); }

private:
    friend class TrafficConfigurationBuilder;

    uint64_t m_version = 0;
    CallerLimits m_limits;
    std::vector<Route> m_routes;
    std::map<std::string, std::vector<size_t>, std::less<>> m_routesByHost; ///< Indexes, longest prefix first.
    std::map<std::string, TrafficService, std::less<>> m_services;
    std::vector<TrafficAccount> m_accounts;
    std::map<std::string, size_t, std::less<>> m_accountByKey;
};

/** Builds a TrafficConfiguration and checks that its parts fit together. */
class TrafficConfigurationBuilder {
public:
    TrafficConfigurationBuilder& setVersion(uint64_t);
    TrafficConfigurationBuilder& setLimits(const CallerLimits&);
    TrafficConfigurationBuilder& addRoute(Route);
    TrafficConfigurationBuilder& addService(TrafficService);
    TrafficConfigurationBuilder& addAccount(TrafficAccount, std::span<const std::string> keys);

    /** Errors: InvalidMessage for a route without a service or to an unknown one, a path prefix without its slashes, or
        a key of two accounts. */
    Result<TrafficConfiguration> build();

private:
    Status checkRoutes() const;

    TrafficConfiguration m_configuration;
    std::optional<Error> m_error {};
};

}
