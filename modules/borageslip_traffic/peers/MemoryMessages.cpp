#include "MemoryMessages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace borageslip {

namespace {

    constexpr uint64_t maxTokens = 1ULL << 40; ///< Of a figure in a message, so that sums cannot overflow.

    bool isTokens(const nlohmann::json& value)
    {
        return value.is_number_unsigned() && value.get<uint64_t>() <= maxTokens;
    }

    nlohmann::json prefixRows(std::span<const HeldPrefix> prefixes)
    {
        auto rows = nlohmann::json::array();
        for (const auto& prefix : prefixes)
            rows.push_back({ prefix.hash, prefix.tokens });
        return rows;
    }

    bool isPrefix(const nlohmann::json& row)
    {
        return row.is_array() && row.size() == 2 && row[0].is_number_unsigned() && isTokens(row[1]);
    }

    bool arePrefixes(const nlohmann::json& rows)
    {
        return rows.is_array() && std::all_of(rows.begin(), rows.end(), isPrefix);
    }

    std::vector<HeldPrefix> prefixesFrom(const nlohmann::json& rows)
    {
        std::vector<HeldPrefix> prefixes;
        prefixes.reserve(rows.size());
        for (const auto& row : rows)
            prefixes.push_back({ row[0], row[1] });
        return prefixes;
    }

}

nlohmann::json memoryRows(std::span<const MemoryUsage> usages)
{
    auto rows = nlohmann::json::array();
    for (const auto& usage : usages)
        rows.push_back({ usage.server, usage.ownTokens, prefixRows(usage.prefixes) });
    return rows;
}

std::optional<std::vector<MemoryUsage>> memoryRowsFrom(const nlohmann::json& rows)
{
    const auto isRow = [](const nlohmann::json& row) { return row.is_array() && row.size() == 3 && row[0].is_number_unsigned() && isTokens(row[1]) && arePrefixes(row[2]); };
    if (!rows.is_array() || !std::all_of(rows.begin(), rows.end(), isRow))
        return std::nullopt;
    std::vector<MemoryUsage> usages;
    usages.reserve(rows.size());
    for (const auto& row : rows)
        usages.push_back({ row[0], row[1], prefixesFrom(row[2]) });
    return usages;
}

nlohmann::json memoryClaimRow(const MemoryClaim& claim)
{
    const auto& prefix = claim.request.prefix;
    return nlohmann::json::array({ claim.request.ownTokens, nlohmann::json::array({ prefix.hash, prefix.tokens }), claim.others.ownTokens, prefixRows(claim.others.prefixes) });
}

std::optional<MemoryClaim> memoryClaimFrom(const nlohmann::json& row, uint64_t server)
{
    if (!row.is_array() || row.size() != 4 || !isTokens(row[0]) || !isPrefix(row[1]) || !isTokens(row[2]) || !arePrefixes(row[3]))
        return std::nullopt;
    return MemoryClaim { { row[0], { row[1][0], row[1][1] } }, { server, row[2], prefixesFrom(row[3]) } };
}

}
