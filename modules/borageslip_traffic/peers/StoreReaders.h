#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace borageslip {

/** An instance that may read the store for others. */
struct ReaderCandidate {
    std::string_view name;
    std::string_view failureDomain;
    double capacity = 0; ///< Of its link, Mbit/s; the largest ones read for the others.
};

/** From where an instance follows what the store holds, the best source first: positions among the others, or nothing for
    the store itself.

    A few instances of each failure domain read the store, and the rest follows them: the calls of the store and what it
    sends do not grow with the fleet. An instance that the store turns away, or whose reader is lost, goes on with the next
    source. Pure: instances that list the same ones agree. */
std::vector<std::optional<size_t>> rankedStoreSources(const ReaderCandidate& own, std::span<const ReaderCandidate> others);

}
