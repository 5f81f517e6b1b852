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

/** One part of a prompt. An engine can reuse a part from its prefix cache only if it reuses all preceding parts. */
struct PromptPart {
    uint64_t id = 0;
    uint32_t tokens = 0;
};

/** Metadata from the header of a request. Values that the caller did not send are empty or absent. */
struct RequestMetadata {
    std::string requestId;
    std::string key;
    std::optional<std::chrono::milliseconds> timeLeft {}; ///< How long the caller is going to wait for the response.
    std::string model;
    uint32_t promptTokens = 0;
    uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> promptParts;
};

/** Metadata that the fleet adds to a request when it is forwarded to a backend server. */
struct ForwardingMetadata {
    std::chrono::milliseconds timeLeft { 0 };
    std::string_view serverId; ///< Id of the intended backend server; any other server must not run the request.
    std::string_view account; ///< Empty for an anonymous request.
    std::optional<std::string_view> resumeAfter {}; ///< Id of the last event that the caller received.
};

/** Load that a backend server reports in a response. */
struct ServerLoad {
    int running = 0;
    int waiting = 0;
    int slots = 0;
    std::optional<int> slownessPercent {}; ///< 100: requests take as long as usual on this server.
};

/** Metadata from the status and header of a response. */
struct ResponseMetadata {
    std::string_view requestId; ///< Id of the request to which the response belongs; empty if not stated.
    bool isNotRun = false; ///< The backend server reported that it did not run the request and never will.
    bool hasNotRunStatus = false; ///< To callers, the status says that the request has not run. Only isNotRun and isMisdirected show that it has not.
    bool isMisdirected = false; ///< The address belongs to a backend server other than the intended one.
    bool isServerLeaving = false; ///< The backend server is about to end and wants no further requests.
    std::optional<std::chrono::milliseconds> retryAfter {}; ///< For how long the backend server wants no request of this instance.
    std::optional<Result<double>> rateLimit {}; ///< Requests a second that the backend server accepts from all instances; an error if it cannot be read.
    std::optional<std::chrono::milliseconds> coldTimeLeft {}; ///< For which the backend server is going to be cold; zero: it is not.
    bool isEncoded = false; ///< The response has a content encoding, so its body is not what the backend server produced.
    std::optional<ServerLoad> load {};
};

/** Maps the header fields of a platform's protocol to metadata, so that the traffic path knows no field names.

    Implementations are stateless and thread-safe. */
class CallerProtocol {
public:
    virtual ~CallerProtocol() = default;

    virtual RequestMetadata requestMetadata(const HttpFields&) const = 0;

    /** Removes the fields reserved for the fleet, which callers must not set, then sets them for the backend server. */
    virtual void prepareForwarding(HttpFields&, const ForwardingMetadata&) const = 0;

    virtual ResponseMetadata responseMetadata(unsigned status, const HttpFields&) const = 0;
};

}
