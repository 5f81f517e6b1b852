#pragma once

#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace borageslip {

/** An instance that may read the store on behalf of others. */
struct ReaderCandidate {
    std::string_view name;
    std::string_view failureDomain;
    double capacity = 0; ///< Network capacity in Mbit/s; the instances with the highest capacity become readers.
};

/** Sources from which an instance obtains the contents of the store, in order of preference.

    A few instances of each failure domain read the store directly, and the others read from them, so that the calls to
    the store and the data that it sends do not grow with the fleet. An instance falls back to the next source when the
    store rejects it or its reader is lost. A pure function: instances that know the same set of instances agree on the
    readers.
    @return positions in `others`; nothing stands for the store itself. */
std::vector<std::optional<size_t>> rankedStoreSources(const ReaderCandidate& own, std::span<const ReaderCandidate> others);

}
