#pragma once

#include <borageslip_core/borageslip_core.h>

#include <set>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

/** What one router says of itself, or why it did not. */
struct RouterStatus {
    std::string address;
    std::string id;
    uint64_t revision = 0;
    std::string state;
    std::string failure; ///< Empty when the router answered.
    nlohmann::json body;
};

/** The answers of all routers that were asked. */
struct FleetStatus {
    std::vector<RouterStatus> routers;

    /** Highest revision in force anywhere; 0 for none. */
    uint64_t newestRevision() const;
    size_t countUpToDate(uint64_t revision) const;
    /** Routers that hold a lower revision or did not answer. */
    std::vector<RouterStatus> outdatedRouters(uint64_t revision) const;
    /** Accounts that a router names under "accounts_in_use". */
    std::set<AccountId> accountsInUse() const;
};

/** Answer of one instance to a GET. */
struct InstanceResponse {
    int status = 0; ///< 0: none came.
    std::string body;
    std::string failure; ///< Why none came.
};

/** Asks all addresses ("ip:port") for the same path, at most 16 at a time, with a timeout for each. Blocks. */
std::vector<InstanceResponse> queryInstances(std::span<const std::string> addresses, const std::string& path, std::chrono::milliseconds timeout);

/** Asks each router's `GET /operator/status`, at most 16 at a time, with a timeout for each. Blocks. */
FleetStatus queryFleetStatus(std::span<const std::string> operatorAddresses, std::chrono::milliseconds timeout);

/** Asks the routers in turn for `GET /operator/explain/<request>` and returns the first answer.
    Errors: NotFound when no router knows the request; PeerUnreachable when none answered. */
Result<nlohmann::json> explainRequest(std::span<const std::string> operatorAddresses, std::string_view request, std::chrono::milliseconds timeout);

}
