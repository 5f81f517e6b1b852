#include "LatencySummary.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr uint8_t formatVersion = 1;
    constexpr size_t classBytes = 6;
    constexpr size_t encodedBytes = 2 + workClassCount * classBytes;
    constexpr uint64_t minMedianEngines = 3;

    void appendInteger(std::vector<uint8_t>& bytes, uint64_t number, size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            bytes.push_back(static_cast<uint8_t>(number >> (8 * (count - 1 - i))));
    }

    uint64_t readInteger(std::span<const uint8_t>& bytes, size_t count)
    {
        uint64_t number = 0;
        for (const auto byte : bytes.first(count))
            number = (number << 8) | byte;
        bytes = bytes.subspan(count);
        return number;
    }

}

std::vector<uint8_t> LatencySummary::encode() const
{
    std::vector<uint8_t> bytes { formatVersion, lowered };
    for (const auto& entry : classes) {
        const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(entry.median).count();
        appendInteger(bytes, static_cast<uint64_t>(std::clamp<int64_t>(microseconds, 0, UINT32_MAX)), 4);
        appendInteger(bytes, entry.engines, 2);
    }
    return bytes;
}

Result<LatencySummary> LatencySummary::decode(std::span<const uint8_t> bytes)
{
    if (bytes.size() != encodedBytes || bytes[0] != formatVersion)
        return Error { ErrorKind::InvalidMessage, "malformed latency summary" };
    LatencySummary summary;
    summary.lowered = bytes[1];
    bytes = bytes.subspan(2);
    for (auto& entry : summary.classes) {
        entry.median = std::chrono::microseconds(readInteger(bytes, 4));
        entry.engines = static_cast<uint16_t>(readInteger(bytes, 2));
        if (entry.engines > 0 && entry.median <= Duration::zero())
            return Error { ErrorKind::InvalidMessage, "malformed latency summary: the median of a class with engines is missing" };
    }
    return summary;
}

std::optional<Duration> fleetMedian(std::span<const LatencySummary> summaries, WorkClass workClass)
{
    std::vector<LatencySummary::Class> entries;
    uint64_t engines = 0;
    for (const auto& summary : summaries) {
        entries.push_back(summary.classes.at(indexOf(workClass)));
        engines += entries.back().engines;
    }
    if (engines < minMedianEngines)
        return std::nullopt;
    std::sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) { return left.median < right.median; });
    uint64_t below = 0;
    for (const auto& entry : entries) {
        below += entry.engines;
        if (2 * below >= engines)
            return entry.median;
    }
    return std::nullopt;
}

}
