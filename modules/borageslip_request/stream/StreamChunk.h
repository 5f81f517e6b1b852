#pragma once

#include <borageslip_core/errors/Result.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace borageslip {

/** One chunk of a streamed chat answer.

    `tokens` is the chunk's field "tokens" if the engine sends it. Otherwise a chunk with content counts as one token, and
    a chunk without content (only a role or finish reason) as none. */
struct StreamChunk {
    std::string id;
    uint64_t offset = 0; ///< Index of the chunk's first token.
    uint64_t tokens = 0;
    bool isLast = false;
    std::optional<uint64_t> completionTokens {}; ///< From the usage of the last chunk.
    nlohmann::json body;
};

/** Returns whether a chunk belongs to the request. Engines use the request id as the chunk's id, or put "chatcmpl-" before it. */
bool isChunkOf(const StreamChunk&, std::string_view requestId);

/** Parses the data of an event. Errors: InvalidMessage if it is not a chunk. */
Result<StreamChunk> parseStreamChunk(std::string_view data);

}
