#include "ColdPermitMessages.h"

#include "ServiceMessages.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace borageslip {

namespace {

    using nlohmann::json;
    using std::chrono::milliseconds;

    constexpr size_t maxServers = 64;

    Error malformed()
    {
        return { ErrorKind::InvalidMessage, "malformed message on cold servers" };
    }

    uint64_t countOf(milliseconds time)
    {
        return static_cast<uint64_t>(std::max(time, milliseconds(0)).count());
    }

}

std::vector<uint8_t> encodeColdPermitRequest(const ColdPermitRequest& request)
{
    return json::to_cbor(json::array({ coldPermitRequestKind, request.sender, request.sequence, request.service, request.servers }));
}

std::vector<uint8_t> encodeColdPermitReply(const ColdPermitReply& reply)
{
    return json::to_cbor(json::array({ coldPermitReplyKind, reply.sender, reply.sequence, reply.server, countOf(reply.nextIn) }));
}

std::vector<uint8_t> encodeColdServerNotice(const ColdServerNotice& notice)
{
    return json::to_cbor(json::array({ coldServerNoticeKind, notice.sender, notice.server, countOf(notice.left) }));
}

Result<ColdPermitRequest> coldPermitRequestFrom(const json& document)
{
    if (document.size() != 5 || !document[1].is_string() || !document[2].is_number_unsigned() || !document[3].is_string() || !document[4].is_array() || document[4].size() > maxServers)
        return malformed();
    if (!std::all_of(document[4].begin(), document[4].end(), [](const json& hash) { return hash.is_number_unsigned(); }))
        return malformed();
    return ColdPermitRequest { document[1], document[2], document[3], document[4] };
}

Result<ColdPermitReply> coldPermitReplyFrom(const json& document)
{
    if (document.size() != 5 || !document[1].is_string() || !document[2].is_number_unsigned() || !document[3].is_number_unsigned() || !isTimeField(document[4]))
        return malformed();
    return ColdPermitReply { document[1], document[2], document[3], milliseconds(document[4].get<int64_t>()) };
}

Result<ColdServerNotice> coldServerNoticeFrom(const json& document)
{
    if (document.size() != 4 || !document[1].is_string() || !document[2].is_number_unsigned() || !isTimeField(document[3]))
        return malformed();
    return ColdServerNotice { document[1], document[2], milliseconds(document[3].get<int64_t>()) };
}

}
