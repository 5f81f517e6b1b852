#include "QuarantineMessages.h"

#include "ServiceMessages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace borageslip {

namespace {

    using nlohmann::json;

    constexpr size_t maxRows = 32; ///< Of prompts in a message; more are invalid.
    constexpr size_t maxParts = 512; ///< Of a prompt in a message; more are invalid.

    Error malformed()
    {
        return { ErrorKind::InvalidMessage, "malformed message about crashes of servers" };
    }

    json fingerprintRow(const PromptFingerprint& fingerprint)
    {
        return json::array({ fingerprint.model, fingerprint.parts });
    }

    bool isFingerprint(const json& row)
    {
        const bool hasFields = row.is_array() && row.size() == 2 && row[0].is_string() && row[1].is_array();
        return hasFields && row[1].size() <= maxParts && std::all_of(row[1].begin(), row[1].end(), [](const json& part) { return part.is_number_unsigned(); });
    }

    /** The rows of a message that others sent may be in any order. */
    PromptFingerprint fingerprintFrom(const json& row)
    {
        PromptFingerprint fingerprint { row[0], { row[1].begin(), row[1].end() } };
        std::sort(fingerprint.parts.begin(), fingerprint.parts.end());
        fingerprint.parts.erase(std::unique(fingerprint.parts.begin(), fingerprint.parts.end()), fingerprint.parts.end());
        return fingerprint;
    }

    bool isQuarantine(const json& row)
    {
        return row.is_array() && row.size() == 2 && isFingerprint(row[0]) && isTimeField(row[1]);
    }

    bool areRows(const json& rows, bool (*isValid)(const json&))
    {
        return rows.is_array() && rows.size() <= maxRows && std::all_of(rows.begin(), rows.end(), isValid);
    }

}

std::vector<uint8_t> encodeServerCrashNotice(const ServerCrashNotice& notice)
{
    auto suspects = json::array();
    for (const auto& suspect : notice.crash.suspects)
        suspects.push_back(fingerprintRow(suspect));
    return json::to_cbor(json::array({ serverCrashNoticeKind, notice.sender, notice.crash.server, std::move(suspects) }));
}

std::vector<uint8_t> encodeClearedPartsNotice(const ClearedPartsNotice& notice)
{
    return json::to_cbor(json::array({ clearedPartsNoticeKind, notice.sender, fingerprintRow(notice.cleared) }));
}

Result<ServerCrashNotice> serverCrashNoticeFrom(const json& document)
{
    if (document.size() != 4 || !document[1].is_string() || !document[2].is_number_unsigned() || !areRows(document[3], isFingerprint))
        return malformed();
    ServerCrashNotice notice { document[1], { document[2], {} } };
    for (const auto& row : document[3])
        notice.crash.suspects.push_back(fingerprintFrom(row));
    return notice;
}

Result<ClearedPartsNotice> clearedPartsNoticeFrom(const json& document)
{
    if (document.size() != 3 || !document[1].is_string() || !isFingerprint(document[2]))
        return malformed();
    return ClearedPartsNotice { document[1], fingerprintFrom(document[2]) };
}

json quarantineRow(const QuarantinedPrompt& quarantined)
{
    return json::array({ fingerprintRow(quarantined.prompt), static_cast<uint64_t>(std::max(quarantined.timeLeft, std::chrono::milliseconds(0)).count()) });
}

Result<std::vector<QuarantinedPrompt>> quarantinesFrom(const json& rows)
{
    if (!areRows(rows, isQuarantine))
        return malformed();
    std::vector<QuarantinedPrompt> quarantined;
    for (const auto& row : rows)
        quarantined.push_back({ fingerprintFrom(row[0]), std::chrono::milliseconds(row[1].get<int64_t>()) });
    return quarantined;
}

}
