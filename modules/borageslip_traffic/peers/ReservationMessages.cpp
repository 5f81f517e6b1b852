#include "ReservationMessages.h"

#include <borageslip_core/encoding/Cbor.h>

#include <algorithm>

namespace borageslip {

namespace {

    // The first element of a message is its kind; peer reports have their format version there instead.
    constexpr int reservationMessageKind = 2;
    constexpr int reservationReplyKind = 3;

    bool areNumbers(const nlohmann::json& document, std::initializer_list<size_t> positions)
    {
        return std::all_of(positions.begin(), positions.end(), [&](size_t i) { return document[i].is_number_unsigned(); });
    }

    Error malformed()
    {
        return { ErrorKind::InvalidMessage, "malformed reservation message" };
    }

    Result<PeerMessage> reservationMessageFrom(const nlohmann::json& document)
    {
        // The part on memory follows where the sender counts it.
        const bool hasMemory = document.size() == 17;
        if ((document.size() != 16 && !hasMemory) || !document[1].is_string() || !document[7].is_boolean() || !areNumbers(document, { 2, 3, 4, 5, 6, 8, 9, 10, 11, 12 }))
            return malformed();
        if (!isPriorityField(document[13]) || !isPriorityField(document[14]) || !isTimeField(document[15]))
            return malformed();
        std::optional<MemoryClaim> memory;
        if (hasMemory)
            memory = memoryClaimFrom(document[16], document[4]);
        if (hasMemory && !memory)
            return malformed();
        return PeerMessage(ReservationMessage { document[1], document[2], document[3], { document[4], document[5], document[6] }, document[7], { document[8], document[9] }, { document[10], document[11] }, document[12], { document[13], document[14] }, std::chrono::milliseconds(document[15].get<int64_t>()), std::move(memory) });
    }

    template <typename Message>
    Result<PeerMessage> peerMessageFrom(Result<Message> message)
    {
        if (!isOk(message))
            return error(message);
        return PeerMessage(value(std::move(message)));
    }

    Result<PeerMessage> reservationReplyFrom(const nlohmann::json& document)
    {
        if (document.size() != 8 || !document[2].is_boolean() || !document[3].is_boolean() || !document[7].is_boolean() || !areNumbers(document, { 1, 4, 5, 6 }))
            return malformed();
        return PeerMessage(ReservationReply { document[1], document[2], document[3], { document[4], document[5], document[6] }, document[7] });
    }

}

std::vector<uint8_t> encodeReservationMessage(const ReservationMessage& message)
{
    const auto& usage = message.usage;
    auto document = nlohmann::json::array({ reservationMessageKind, message.sender, message.incarnation, message.sequence, usage.server, usage.inFlight, usage.pendingPrefill, message.isRequest, message.limits.slots, message.limits.pendingPrefill, message.prefix.hash, message.prefix.tokens, message.promptTokens, message.priority.account, message.priority.route, static_cast<uint64_t>(message.waitWithin.count()) });
    if (message.memory)
        document.push_back(memoryClaimRow(*message.memory));
    return nlohmann::json::to_cbor(document);
}

std::vector<uint8_t> encodeReservationReply(const ReservationReply& reply)
{
    return nlohmann::json::to_cbor(nlohmann::json::array({ reservationReplyKind, reply.sequence, reply.isGranted, reply.isWaiting, reply.usage.server, reply.usage.inFlight, reply.usage.pendingPrefill, reply.isPrefixCached }));
}

Result<PeerMessage> decodePeerMessage(std::span<const uint8_t> bytes)
{
    const auto document = parseCbor(bytes);
    const bool hasKind = document.is_array() && !document.empty() && document[0].is_number_unsigned();
    if (hasKind && document[0] == reservationMessageKind)
        return reservationMessageFrom(document);
    if (hasKind && document[0] == reservationReplyKind)
        return reservationReplyFrom(document);
    if (hasKind && document[0] == serviceStateKind)
        return peerMessageFrom(serviceStateFrom(document));
    if (hasKind && document[0] == serviceDecisionsKind)
        return peerMessageFrom(serviceDecisionsFrom(document));
    if (hasKind && document[0] == coordinatorNoticeKind)
        return peerMessageFrom(coordinatorNoticeFrom(document));
    if (hasKind && document[0] == serverCrashNoticeKind)
        return peerMessageFrom(serverCrashNoticeFrom(document));
    if (hasKind && document[0] == clearedPartsNoticeKind)
        return peerMessageFrom(clearedPartsNoticeFrom(document));
    if (hasKind && document[0] == configurationNoticeKind)
        return peerMessageFrom(configurationNoticeFrom(document));
    if (hasKind && document[0] == rateLimitsNoticeKind)
        return peerMessageFrom(rateLimitsNoticeFrom(document));
    if (hasKind && document[0] == prefillEndNoticeKind)
        return peerMessageFrom(prefillEndNoticeFrom(document));
    if (hasKind && document[0] == coldPermitRequestKind)
        return peerMessageFrom(coldPermitRequestFrom(document));
    if (hasKind && document[0] == coldPermitReplyKind)
        return peerMessageFrom(coldPermitReplyFrom(document));
    if (hasKind && document[0] == coldServerNoticeKind)
        return peerMessageFrom(coldServerNoticeFrom(document));
    return peerMessageFrom(decodePeerReport(bytes));
}

}
