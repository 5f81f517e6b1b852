#pragma once

#include <borageslip_core/borageslip_core.h>

#include <set>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

/** The status that one router reports, or the reason why it could not be read. */
struct RouterStatus {
    std::string address;
    std::string id;
    uint64_t revision = 0;
    std::string state;
    std::string failure; ///< Empty if the router responded.
    nlohmann::json body;
};

/** The status of all queried routers. */
struct FleetStatus {
    std::vector<RouterStatus> routers;

    /** Returns the highest active revision of any router; 0 if none has a configuration. */
    uint64_t newestRevision() const;
    size_t countUpToDate(uint64_t revision) const;
    /** Returns the routers that have a lower revision or did not respond. */
    std::vector<RouterStatus> outdatedRouters(uint64_t revision) const;
    /** Returns the accounts that any router lists under "accounts_in_use". */
    std::set<AccountId> accountsInUse() const;
};

/** Response of one instance to a GET request. */
struct InstanceResponse {
    int status = 0; ///< HTTP status; 0 if there was no response.
    std::string body;
    std::string failure; ///< Why there was no response.
};

/** Requests the same path from all addresses ("ip:port"), at most 16 at a time. Blocks.
    @param timeout applies to each request. */
std::vector<InstanceResponse> queryInstances(std::span<const std::string> addresses, const std::string& path, std::chrono::milliseconds timeout);

/** Requests `GET /operator/status` from each router, at most 16 at a time. Blocks.
    @param timeout applies to each request. */
FleetStatus queryFleetStatus(std::span<const std::string> operatorAddresses, std::chrono::milliseconds timeout);

/** Requests `GET /operator/explain/<request>` from one router after another and returns the first result. Blocks.
    Errors: NotFound when no router knows the request; PeerUnreachable when no router responded. */
Result<nlohmann::json> explainRequest(std::span<const std::string> operatorAddresses, std::string_view request, std::chrono::milliseconds timeout);

}
