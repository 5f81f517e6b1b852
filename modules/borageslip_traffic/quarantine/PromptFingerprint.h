#pragma once

#include "../http/HttpMessages.h"
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

/** Stands in place of a model for whole requests. Not a model's name, since header fields don't begin with a space. */
constexpr std::string_view requestScope = " request";

/** Returns the fingerprint of all that a server gets from the caller: the whole prompt or, without one, method, target and
    body. It has one part, which only repetitions of the request share. */
PromptFingerprint requestFingerprint(const RequestMetadata&, const HttpRequest&);

/** Returns the fingerprints by which a request is suspected of crashing its server. */
std::vector<PromptFingerprint> suspectFingerprints(const RequestMetadata&, const HttpRequest&);

/** Returns the fingerprint in the scope of responses that were interrupted after they had progressed. Such a response is
    weaker evidence, which only complete responses refute. */
PromptFingerprint interruptedFingerprint(PromptFingerprint);
bool isInterruptedScope(std::string_view scope);

/** Whether the scope is that of whole requests, interrupted or not. */
bool isRequestScope(std::string_view scope);

/** The parts in hexadecimal, as callers send them, separated by commas. */
std::string partsText(const PromptFingerprint&);

/** For log lines. */
nlohmann::json fingerprintJson(const PromptFingerprint&);

}
