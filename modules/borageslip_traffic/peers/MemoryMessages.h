#pragma once

#include <borageslip_scheduling/placement/MemoryUsage.h>

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <vector>

namespace borageslip {

/** What a reservation message states of the server's memory. */
struct MemoryClaim {
    RequestMemory request; ///< The requested reservation; empty if none is requested.
    MemoryUsage others; ///< Of the sender's other requests at the server, granted or not.

    bool operator==(const MemoryClaim&) const = default;
};

/** Encodes usage of servers' memory as an array of rows. */
nlohmann::json memoryRows(std::span<const MemoryUsage>);

/** Decodes rows; nothing if they are malformed. */
std::optional<std::vector<MemoryUsage>> memoryRowsFrom(const nlohmann::json&);

nlohmann::json memoryClaimRow(const MemoryClaim&);

/** Decodes a claim; nothing if it is malformed. @param server of the message. */
std::optional<MemoryClaim> memoryClaimFrom(const nlohmann::json&, uint64_t server);

}
