#include "StoreReaders.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace borageslip {

namespace {

    constexpr size_t instancesPerReader = 16; ///< Per failure domain; a reader answers each of them about twice a second.

    using Position = std::optional<size_t>; ///< Position among the other instances; nothing for the own instance.

    size_t readerCount(size_t instances)
    {
        return 1 + instances / instancesPerReader;
    }

}

std::vector<std::optional<size_t>> rankedStoreSources(const ReaderCandidate& own, std::span<const ReaderCandidate> others)
{
    const auto candidate = [&](Position position) -> const ReaderCandidate& { return position ? others[*position] : own; };
    std::map<std::string_view, std::vector<Position>> domains;
    domains[own.failureDomain].push_back(std::nullopt);
    for (size_t i = 0; i < others.size(); ++i)
        domains[others[i].failureDomain].push_back(i);
    for (auto& [domain, instances] : domains) {
        const auto key = [&](Position position) { return std::tuple(-candidate(position).capacity, hashBytes(candidate(position).name)); };
        std::sort(instances.begin(), instances.end(), [&](Position first, Position second) { return key(first) < key(second); });
        instances.resize(readerCount(instances.size()));
    }

    auto readers = domains.extract(own.failureDomain).mapped();
    const bool isReader = std::find(readers.begin(), readers.end(), std::nullopt) != readers.end();
    std::erase(readers, std::nullopt);
    if (!readers.empty())
        std::rotate(readers.begin(), readers.begin() + static_cast<std::ptrdiff_t>(hashBytes(own.name) % readers.size()), readers.end());

    std::vector<std::optional<size_t>> sources(readers.begin(), readers.end());
    sources.insert(isReader ? sources.begin() : sources.end(), std::nullopt);
    for (const auto& [domain, instances] : domains)
        sources.push_back(instances.front());
    return sources;
}

}
