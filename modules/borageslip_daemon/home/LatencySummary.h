#pragma once

#include <array>
#include <borageslip_routing/borageslip_routing.h>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace borageslip {

/** Median times to first token of the engines whose home is one member. Members exchange these summaries by gossip. */
struct LatencySummary {
    struct Class {
        Duration median {};
        uint16_t engines = 0; ///< Number of engines with enough samples; 0 if there is no median.
    };

    std::array<Class, workClassCount> classes {};
    uint8_t lowered = 0; ///< Number of engines whose weight the member has reduced.

    /** Encodes the summary in at most 20 bytes, with medians in microseconds. */
    std::vector<uint8_t> encode() const;

    /** Errors: InvalidMessage. */
    static Result<LatencySummary> decode(std::span<const uint8_t>);
};

/** Returns the median of the members' medians of a class, weighted by their number of engines, or no value for fewer than
    three engines. A median, because a single slow engine does not shift it. */
std::optional<Duration> fleetMedian(std::span<const LatencySummary>, WorkClass);

}
