#pragma once

#include <borageslip_core/borageslip_core.h>
#include <chrono>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

/** What one router answered, or why it did not. */
struct InstanceScrape {
    std::string address;
    std::string failure; ///< Empty when both answers came.
    nlohmann::json objectives; ///< Body of `/operator/objectives`.
    std::string metrics; ///< Body of `/metrics`.
};

/** Reads `/operator/objectives` and `/metrics` of each router, at most 16 at a time. Blocks. */
std::vector<InstanceScrape> scrapeInstances(std::span<const std::string> operatorAddresses, std::chrono::milliseconds timeout);

}
