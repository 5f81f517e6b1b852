#include "StreamChunk.h"

namespace borageslip {

namespace {

    bool hasContent(const nlohmann::json& delta)
    {
        const auto content = delta.find("content");
        if (content != delta.end() && content->is_string() && !content->get_ref<const std::string&>().empty())
            return true;
        return delta.contains("tool_calls");
    }

    void readChoice(const nlohmann::json& choice, StreamChunk& chunk)
    {
        if (const auto reason = choice.find("finish_reason"); reason != choice.end() && !reason->is_null())
            chunk.isLast = true;
        if (const auto delta = choice.find("delta"); delta != choice.end() && delta->is_object() && hasContent(*delta))
            chunk.tokens = 1;
    }

}

bool isChunkOf(const StreamChunk& chunk, std::string_view requestId)
{
    constexpr std::string_view completionPrefix = "chatcmpl-";
    std::string_view id = chunk.id;
    if (id.starts_with(completionPrefix) && !requestId.starts_with(completionPrefix))
        id.remove_prefix(completionPrefix.size());
    return id == requestId;
}

Result<StreamChunk> parseStreamChunk(std::string_view data)
{
    StreamChunk chunk;
    chunk.body = nlohmann::json::parse(data, nullptr, false);
    const auto& body = chunk.body;
    if (!body.is_object() || !body.contains("choices") || !body["choices"].is_array())
        return Error { ErrorKind::InvalidMessage, "a stream event is not a chat completion chunk" };
    const auto offset = body.find("offset");
    if (offset == body.end() || !offset->is_number_unsigned())
        return Error { ErrorKind::InvalidMessage, "a chat completion chunk has no valid offset" };
    chunk.offset = offset->get<uint64_t>();
    if (const auto id = body.find("id"); id != body.end() && id->is_string())
        chunk.id = id->get<std::string>();
    for (const auto& choice : body["choices"]) {
        if (choice.is_object())
            readChoice(choice, chunk);
    }
    if (const auto tokens = body.find("tokens"); tokens != body.end() && tokens->is_number_unsigned())
        chunk.tokens = tokens->get<uint64_t>();
    if (const auto usage = body.find("usage"); usage != body.end() && usage->is_object()) {
        if (const auto count = usage->find("completion_tokens"); count != usage->end() && count->is_number_unsigned())
            chunk.completionTokens = count->get<uint64_t>();
    }
    return chunk;
}

}
