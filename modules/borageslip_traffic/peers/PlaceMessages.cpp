#include "PlaceMessages.h"

#include <borageslip_core/encoding/Cbor.h>

#include <algorithm>

namespace borageslip {

namespace {

    // The first number of a message says which kind it is; reports carry the version of their format there.
    constexpr int placeMessageKind = 2;
    constexpr int placeAnswerKind = 3;

    bool areNumbers(const nlohmann::json& document, std::initializer_list<size_t> positions)
    {
        return std::all_of(positions.begin(), positions.end(), [&](size_t i) { return document[i].is_number_unsigned(); });
    }

    Error malformed()
    {
        return { ErrorKind::InvalidMessage, "a message about places could not be decoded" };
    }

    Result<PeerMessage> placeMessageFrom(const nlohmann::json& document)
    {
        if (document.size() != 10 || !document[1].is_string() || !document[7].is_boolean() || !areNumbers(document, { 2, 3, 4, 5, 6, 8, 9 }))
            return malformed();
        return PeerMessage(PlaceMessage { document[1], document[2], document[3], { document[4], document[5], document[6] }, document[7], { document[8], document[9] } });
    }

    Result<PeerMessage> placeAnswerFrom(const nlohmann::json& document)
    {
        if (document.size() != 6 || !document[2].is_boolean() || !areNumbers(document, { 1, 3, 4, 5 }))
            return malformed();
        return PeerMessage(PlaceAnswer { document[1], document[2], { document[3], document[4], document[5] } });
    }

}

std::vector<uint8_t> encodePlaceMessage(const PlaceMessage& message)
{
    const auto& use = message.use;
    return nlohmann::json::to_cbor(nlohmann::json::array({ placeMessageKind, message.sender, message.incarnation, message.sequence, use.server, use.inFlight, use.pendingPrefill, message.isRequest, message.terms.slots, message.terms.pendingPrefill }));
}

std::vector<uint8_t> encodePlaceAnswer(const PlaceAnswer& answer)
{
    return nlohmann::json::to_cbor(nlohmann::json::array({ placeAnswerKind, answer.sequence, answer.isGranted, answer.use.server, answer.use.inFlight, answer.use.pendingPrefill }));
}

Result<PeerMessage> decodePeerMessage(std::span<const uint8_t> bytes)
{
    const auto document = parseCbor(bytes);
    const bool hasKind = document.is_array() && !document.empty() && document[0].is_number_unsigned();
    if (hasKind && document[0] == placeMessageKind)
        return placeMessageFrom(document);
    if (hasKind && document[0] == placeAnswerKind)
        return placeAnswerFrom(document);
    auto report = decodePeerReport(bytes);
    if (!isOk(report))
        return error(report);
    return PeerMessage(value(std::move(report)));
}

}
