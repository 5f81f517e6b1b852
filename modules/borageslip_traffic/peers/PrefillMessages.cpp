#include "PrefillMessages.h"

#include <nlohmann/json.hpp>

namespace borageslip {

using nlohmann::json;

std::vector<uint8_t> encodePrefillEndNotice(const PrefillEndNotice& notice)
{
    return json::to_cbor(json::array({ prefillEndNoticeKind, notice.sender, notice.prefix.server, notice.prefix.prefix, notice.end == PrefillEnd::Finished }));
}

Result<PrefillEndNotice> prefillEndNoticeFrom(const json& document)
{
    if (document.size() != 5 || !document[1].is_string() || !document[2].is_number_unsigned() || !document[3].is_number_unsigned() || !document[4].is_boolean())
        return Error { ErrorKind::InvalidMessage, "malformed message about the end of a prefill" };
    return PrefillEndNotice { document[1], { document[2], document[3] }, document[4].get<bool>() ? PrefillEnd::Finished : PrefillEnd::Failed };
}

}
