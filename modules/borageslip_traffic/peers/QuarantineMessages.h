#pragma once

#include "../quarantine/PromptQuarantine.h"

#include <borageslip_core/errors/Result.h>

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <vector>

namespace borageslip {

/** Sent to all instances by one that has observed the crash of a backend server. */
struct ServerCrashNotice {
    std::string sender;
    ServerCrash crash;

    bool operator==(const ServerCrashNotice&) const = default;
};

/** Sent to all instances by one at which a response has cleared suspected prompt parts. */
struct ClearedPartsNotice {
    std::string sender;
    PromptFingerprint cleared;

    bool operator==(const ClearedPartsNotice&) const = default;
};

std::vector<uint8_t> encodeServerCrashNotice(const ServerCrashNotice&);
std::vector<uint8_t> encodeClearedPartsNotice(const ClearedPartsNotice&);

/** Decode a CBOR array whose first element is the message kind below. Errors: InvalidMessage when it is not a valid
    message of that kind. */
Result<ServerCrashNotice> serverCrashNoticeFrom(const nlohmann::json&);
Result<ClearedPartsNotice> clearedPartsNoticeFrom(const nlohmann::json&);

constexpr int serverCrashNoticeKind = 7;
constexpr int clearedPartsNoticeKind = 8;

/** Row of a report for a quarantined combination of prompt parts. */
nlohmann::json quarantineRow(const QuarantinedPrompt&);

/** Decodes such rows. Errors: InvalidMessage. */
Result<std::vector<QuarantinedPrompt>> quarantinesFrom(const nlohmann::json&);

}
