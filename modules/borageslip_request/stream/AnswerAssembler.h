#pragma once

#include "StreamChunk.h"

#include <map>

namespace borageslip {

/** Assembles a chat completion from the chunks of a stream and checks that it is complete (invariant I2).

    Not thread-safe. */
class AnswerAssembler {
public:
    /** @param id request id that every chunk must have. */
    explicit AnswerAssembler(std::string id);

    /** Adds the next chunk. Errors: InvalidMessage for a chunk of another request, at an unexpected offset, or after
        the last one. */
    Status add(const StreamChunk&);

    /** Returns the completion as an OpenAI `chat.completion` object.
        Errors: InvalidMessage when the last chunk is missing or the usage does not match the tokens received. */
    Result<nlohmann::json> finish() const;

    uint64_t tokens() const { return m_tokens; }

private:
    struct Choice {
        nlohmann::json message = { { "role", "assistant" }, { "content", "" } };
        nlohmann::json finishReason;
    };

    void addToChoice(const nlohmann::json& choice);

    const std::string m_id;
    uint64_t m_tokens = 0;
    bool m_hasLastChunk = false;
    std::optional<uint64_t> m_completionTokens {};
    nlohmann::json m_topLevelFields = nlohmann::json::object(); ///< Top-level fields other than the choices; the latest chunk's values.
    std::map<int, Choice> m_choices;
};

}
