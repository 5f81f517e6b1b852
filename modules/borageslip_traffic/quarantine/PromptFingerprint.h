#pragma once

#include "../protocol/CallerProtocol.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace borageslip {

/** The prompt parts of a request that other requests may share: all but the last one, which is specific to the request.

    Parts are compared within one model only, because a part that one model cannot process may be harmless to another. */
struct PromptFingerprint {
    std::string model; ///< Its name, or a hash of a name that is too long for messages between instances.
    std::vector<uint64_t> parts; ///< Ids in ascending order, without duplicates.

    bool operator==(const PromptFingerprint&) const = default;
};

/** Of a prompt that is suspected; of a longer one, the newest parts are. */
constexpr size_t maxPartsOfSuspect = 1024;

/** Returns the fingerprint of a request's prompt; without parts if its prompt has no shared part. */
PromptFingerprint promptFingerprint(const RequestMetadata&);

/** The parts in hexadecimal, as callers send them, separated by commas. */
std::string partsText(const PromptFingerprint&);

/** For log lines. */
nlohmann::json fingerprintJson(const PromptFingerprint&);

}
