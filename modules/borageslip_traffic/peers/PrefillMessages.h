#pragma once

#include <borageslip_core/errors/Result.h>
#include <borageslip_scheduling/placement/PrefixFlights.h>

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace borageslip {

/** Sent to a server's coordinator by the instance whose request prefilled a prompt prefix there. */
struct PrefillEndNotice {
    std::string sender;
    PrefixAtServer prefix;
    PrefillEnd end {};

    bool operator==(const PrefillEndNotice&) const = default;
};

constexpr int prefillEndNoticeKind = 15;

std::vector<uint8_t> encodePrefillEndNotice(const PrefillEndNotice&);

/** Decodes a CBOR array whose first element is prefillEndNoticeKind. Errors: InvalidMessage. */
Result<PrefillEndNotice> prefillEndNoticeFrom(const nlohmann::json&);

}
