#pragma once

#include <borageslip_core/errors/Result.h>

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

using HttpFields = boost::beast::http::fields;

/** One part of a prompt, in order; a part is reused from an engine's cache only if all parts before it are. */
struct PromptPart {
    uint64_t id = 0;
    uint32_t tokens = 0;
};

/** What a caller's request states about itself. Empty and absent values were not stated. */
struct RequestMetadata {
    std::string requestId;
    std::string key;
    std::optional<std::chrono::milliseconds> timeLeft {}; ///< How long the caller waits.
    std::string model;
    uint32_t promptTokens = 0;
    uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> promptParts;
};

/** What the fleet states to a backend server beside the caller's request. */
struct ForwardingMetadata {
    std::chrono::milliseconds timeLeft { 0 };
    std::string_view serverId; ///< The backend server that is meant; another one must not run the request.
    std::string_view account; ///< Empty for an anonymous request.
    std::optional<std::string_view> resumeAfter {}; ///< Identity of the last event that the caller has.
};

/** Load that a backend server states in an answer. */
struct ServerLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    int slownessPercent = 100; ///< 100: work takes as long as usual on its machine.
};

/** What an answer states about itself. */
struct ResponseMetadata {
    std::string_view requestId; ///< The request to which the answer belongs; empty when not stated.
    bool isNotRun = false; ///< The backend server states that it has not run the request and never will.
    bool isMisdirected = false; ///< Another backend server has the address.
    bool isEncoded = false; ///< The body is not the backend server's own.
    std::optional<ServerLoad> load {};
};

/** Names and formats of the protocol that callers and backend servers speak. The traffic path decides by these facts
    and knows no field's name.

    Implementations are stateless and thread-safe. */
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    virtual RequestMetadata requestMetadata(const HttpFields&) const = 0;

    /** Removes the fields that only the fleet may set, then sets them for a backend server. */
    virtual void prepareForwarding(HttpFields&, const ForwardingMetadata&) const = 0;

    virtual ResponseMetadata responseMetadata(unsigned status, const HttpFields&) const = 0;
};

}
