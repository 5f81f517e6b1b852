#pragma once

#include <borageslip_core/borageslip_core.h>

#include <optional>
#include <string>
#include <string_view>

namespace borageslip {

/** Validated chat completion request of a caller. */
struct ChatRequest {
    ModelId model;
    bool isStream = false;
    std::optional<int> priority; ///< 0 (most urgent) to 9.
    int maxTokens = 0;
    int promptTokens = 0; ///< Estimated from the length of the messages.
    std::string chatKey; ///< Empty if the caller gave none.

    /** Errors: MalformedRequest, naming the field; RequestTooLarge for a chat key over 512 bytes. */
    static Result<ChatRequest> parse(std::string_view body, std::string_view chatKeyHeader);
};

}
