#include "PeerReport.h"

#include <borageslip_core/encoding/Cbor.h>

#include <algorithm>

namespace borageslip {

namespace {

    // Distinguishes this format from a later one.
    constexpr int formatVersion = 1;

}

std::vector<uint8_t> encodePeerReport(const PeerReport& report)
{
    auto uses = nlohmann::json::array();
    for (const auto& use : report.uses)
        uses.push_back({ use.server, use.inFlight, use.pendingPrefill });
    return nlohmann::json::to_cbor(nlohmann::json::array({ formatVersion, report.sender, report.incarnation, report.sequence, report.takesCallers, std::move(uses) }));
}

Result<PeerReport> decodePeerReport(std::span<const uint8_t> bytes)
{
    const Error malformed { ErrorKind::InvalidMessage, "a peer's report could not be decoded" };
    const auto document = parseCbor(bytes);
    if (!document.is_array() || document.size() < 6 || document[0] != formatVersion)
        return malformed;
    const bool isTyped = document[1].is_string() && document[2].is_number_unsigned() && document[3].is_number_unsigned() && document[4].is_boolean() && document[5].is_array();
    if (!isTyped)
        return malformed;
    PeerReport report { document[1], document[2], document[3], document[4], {} };
    for (const auto& use : document[5]) {
        const bool isUse = use.is_array() && use.size() == 3 && std::all_of(use.begin(), use.end(), [](const auto& number) { return number.is_number_unsigned(); });
        if (!isUse)
            return malformed;
        report.uses.push_back({ use[0], use[1], use[2] });
    }
    return report;
}

}
