#include "PeerReport.h"

#include "MemoryMessages.h"
#include "QuarantineMessages.h"
#include "ServiceMessages.h"

#include <borageslip_core/encoding/Cbor.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace borageslip {

namespace {

    // First element of the array; other numbers are other formats or message kinds.
    constexpr int formatVersion = 1;

    nlohmann::json rateLimitRows(std::span<const RateLimitRow> limits)
    {
        auto rows = nlohmann::json::array();
        for (const auto& limit : limits)
            rows.push_back({ limit.server, limit.perSecond, static_cast<uint64_t>(std::max<int64_t>(0, limit.age.count())) });
        return rows;
    }

    bool areRateLimits(const nlohmann::json& rows)
    {
        const auto isRow = [](const nlohmann::json& row) {
            const bool hasFields = row.is_array() && row.size() == 3 && row[0].is_number_unsigned() && row[1].is_number() && isTimeField(row[2]);
            return hasFields && std::isfinite(row[1].get<double>()) && row[1].get<double>() >= 0;
        };
        return rows.is_array() && std::all_of(rows.begin(), rows.end(), isRow);
    }

    std::vector<RateLimitRow> rateLimitsFrom(const nlohmann::json& rows)
    {
        std::vector<RateLimitRow> limits;
        limits.reserve(rows.size());
        for (const auto& row : rows)
            limits.push_back({ row[0], row[1], std::chrono::milliseconds(row[2].get<int64_t>()) });
        return limits;
    }

    nlohmann::json slownessRows(std::span<const SlownessRow> statements)
    {
        auto rows = nlohmann::json::array();
        for (const auto& statement : statements)
            rows.push_back({ statement.server, static_cast<uint64_t>(std::max(0, statement.percent)), static_cast<uint64_t>(std::max<int64_t>(0, statement.age.count())) });
        return rows;
    }

    bool areSlownessRows(const nlohmann::json& rows)
    {
        constexpr uint64_t largestPercent = std::numeric_limits<int>::max();
        const auto isRow = [](const nlohmann::json& row) {
            const bool hasFields = row.is_array() && row.size() == 3 && row[0].is_number_unsigned() && row[1].is_number_unsigned() && isTimeField(row[2]);
            return hasFields && row[1].get<uint64_t>() <= largestPercent;
        };
        return rows.is_array() && std::all_of(rows.begin(), rows.end(), isRow);
    }

    bool isTriple(const nlohmann::json& row)
    {
        return row.is_array() && row.size() == 3 && std::all_of(row.begin(), row.end(), [](const auto& number) { return number.is_number_unsigned(); });
    }

}

std::vector<uint8_t> encodeRateLimitsNotice(const RateLimitsNotice& notice)
{
    return nlohmann::json::to_cbor(nlohmann::json::array({ rateLimitsNoticeKind, notice.sender, rateLimitRows(notice.limits) }));
}

Result<RateLimitsNotice> rateLimitsNoticeFrom(const nlohmann::json& document)
{
    if (document.size() != 3 || !document[1].is_string() || !areRateLimits(document[2]))
        return Error { ErrorKind::InvalidMessage, "malformed notice of rate limits" };
    return RateLimitsNotice { document[1], rateLimitsFrom(document[2]) };
}

std::vector<uint8_t> encodePeerReport(const PeerReport& report)
{
    auto usages = nlohmann::json::array();
    for (const auto& usage : report.usages)
        usages.push_back({ usage.server, usage.inFlight, usage.pendingPrefill });
    auto outcomes = nlohmann::json::array();
    for (const auto& row : report.outcomes)
        outcomes.push_back({ row.server, row.answers, row.failures });
    auto document = nlohmann::json::array({ formatVersion, report.sender, report.incarnation, report.sequence, report.acceptsCallers, std::move(usages), std::move(outcomes) });
    auto quarantined = nlohmann::json::array();
    for (const auto& prompt : report.quarantined)
        quarantined.push_back(quarantineRow(prompt));
    document.push_back(std::move(quarantined));
    document.push_back(report.configurationVersion);
    document.push_back(rateLimitRows(report.rateLimits));
    document.push_back(slownessRows(report.slowness));
    if (report.memory)
        document.push_back(memoryRows(*report.memory));
    return nlohmann::json::to_cbor(document);
}

Result<PeerReport> decodePeerReport(std::span<const uint8_t> bytes)
{
    const Error malformed { ErrorKind::InvalidMessage, "malformed peer report" };
    const auto document = parseCbor(bytes);
    if (!document.is_array() || document.size() < 6 || document[0] != formatVersion)
        return malformed;
    const bool isTyped = document[1].is_string() && document[2].is_number_unsigned() && document[3].is_number_unsigned() && document[4].is_boolean() && document[5].is_array();
    if (!isTyped)
        return malformed;
    PeerReport report { document[1], document[2], document[3], document[4], {} };
    for (const auto& usage : document[5]) {
        if (!isTriple(usage))
            return malformed;
        report.usages.push_back({ usage[0], usage[1], usage[2] });
    }
    // Reports of earlier releases have no outcomes.
    if (document.size() == 6)
        return report;
    if (!document[6].is_array())
        return malformed;
    for (const auto& row : document[6]) {
        if (!isTriple(row))
            return malformed;
        report.outcomes.push_back({ row[0], row[1], row[2] });
    }
    if (document.size() == 7)
        return report;
    auto quarantined = quarantinesFrom(document[7]);
    if (!isOk(quarantined))
        return error(quarantined);
    report.quarantined = value(std::move(quarantined));
    if (document.size() == 8)
        return report;
    if (!document[8].is_number_unsigned())
        return malformed;
    report.configurationVersion = document[8];
    if (document.size() == 9)
        return report;
    if (!areRateLimits(document[9]))
        return malformed;
    report.rateLimits = rateLimitsFrom(document[9]);
    if (document.size() == 10)
        return report;
    if (!areSlownessRows(document[10]))
        return malformed;
    for (const auto& row : document[10])
        report.slowness.push_back({ row[0], row[1], std::chrono::milliseconds(row[2].get<int64_t>()) });
    if (document.size() == 11)
        return report;
    report.memory = memoryRowsFrom(document[11]);
    if (!report.memory)
        return malformed;
    return report;
}

std::vector<uint8_t> encodeConfigurationNotice(const ConfigurationNotice& notice)
{
    auto document = nlohmann::json::array({ configurationNoticeKind, notice.sender, notice.version });
    // Earlier releases understand notices without the revision only.
    if (notice.evacuationRevision != 0)
        document.push_back(notice.evacuationRevision);
    return nlohmann::json::to_cbor(document);
}

Result<ConfigurationNotice> configurationNoticeFrom(const nlohmann::json& document)
{
    const Error malformed { ErrorKind::InvalidMessage, "malformed configuration notice" };
    if ((document.size() != 3 && document.size() != 4) || !document[1].is_string() || !document[2].is_number_unsigned())
        return malformed;
    if (document.size() == 3)
        return ConfigurationNotice { document[1], document[2] };
    if (!document[3].is_number_unsigned())
        return malformed;
    return ConfigurationNotice { document[1], document[2], document[3] };
}

}
