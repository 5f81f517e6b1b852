#pragma once

#include <borageslip_core/borageslip_core.h>
#include <chrono>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

/** Objectives and metrics read from one router, or the reason why they could not be read. */
struct InstanceScrape {
    std::string address; ///< Operator address, "ip:port".
    std::string failure; ///< Empty if both requests succeeded.
    nlohmann::json objectives; ///< Parsed body of `/operator/objectives`.
    std::string metrics; ///< Body of `/metrics`.
};

/** Requests `/operator/objectives` and `/metrics` from each router, at most 16 routers at a time. Blocks.
    @param timeout applies to connecting and to each read.
    @return one entry for each address, in the same order. */
std::vector<InstanceScrape> scrapeInstances(std::span<const std::string> operatorAddresses, std::chrono::milliseconds timeout);

}
