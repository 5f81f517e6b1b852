#pragma once

#include <borageslip_core/borageslip_core.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace borageslip {

/** Response chunk that the home sends to the entry. */
struct ChunkFrame {
    uint64_t offset = 0; ///< Index of the chunk's first token in the response.
    uint64_t tokens = 0;
    std::string_view json; ///< JSON of the engine's chunk, unchanged.
};

/** End of a response, with the error that ended it, if any. */
struct EndFrame {
    std::optional<Error> failure;
    uint64_t chunks = 0; ///< Number of chunks sent before this frame, for the completeness check.
};

using ChatFrame = std::variant<ChunkFrame, EndFrame>;

/** Encodes a frame as a server-sent event. */
std::string encodeFrame(const ChunkFrame&);
std::string encodeFrame(const EndFrame&);

/** Parses the data of one server-sent event. The json of a ChunkFrame is a view of the data passed in.
    Errors: InvalidMessage. */
Result<ChatFrame> parseFrame(std::string_view data);

}
