#include "ChatRequest.h"

namespace borageslip {

namespace {

    constexpr size_t maxChatKeyBytes = 512;
    constexpr int bytesPerToken = 4;
    constexpr int maxPriority = 9;
    constexpr int maxTokensLimit = 1000000;

    Error malformed(const std::string& detail) { return { ErrorKind::MalformedRequest, detail }; }

    Result<std::optional<int>> readInteger(const nlohmann::json& body, const char* name, int maximum)
    {
        const auto found = body.find(name);
        if (found == body.end() || found->is_null())
            return std::optional<int>();
        if (!found->is_number_integer() || *found < 0 || *found > maximum)
            return malformed("/" + std::string(name) + ": an integer from 0 to " + std::to_string(maximum) + " is expected");
        return std::optional(found->get<int>());
    }

}

Result<ChatRequest> ChatRequest::parse(std::string_view body, std::string_view chatKeyHeader)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return malformed("the body is not a JSON object");
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string())
        return malformed("/model: a string is expected");
    const auto messages = json.find("messages");
    if (messages == json.end() || !messages->is_array() || messages->empty())
        return malformed("/messages: a list with at least one message is expected");
    size_t promptBytes = 0;
    for (const auto& message : *messages) {
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
            return malformed("/messages: every message needs a role");
        if (const auto content = message.find("content"); content != message.end() && content->is_string())
            promptBytes += content->get_ref<const std::string&>().size();
    }
    ChatRequest request;
    request.model = ModelId(model->get<std::string>());
    request.promptTokens = static_cast<int>(promptBytes / bytesPerToken);
    if (const auto stream = json.find("stream"); stream != json.end()) {
        if (!stream->is_boolean())
            return malformed("/stream: true or false is expected");
        request.isStream = *stream;
    }
    const auto priority = readInteger(json, "priority", maxPriority);
    if (!isOk(priority))
        return error(priority);
    request.priority = value(priority);
    for (const char* name : { "max_tokens", "max_completion_tokens" }) {
        const auto limit = readInteger(json, name, maxTokensLimit);
        if (!isOk(limit))
            return error(limit);
        request.maxTokens = value(limit).value_or(request.maxTokens);
    }
    request.chatKey = chatKeyHeader;
    if (const auto key = json.find("prompt_cache_key"); key != json.end()) {
        if (!key->is_string())
            return malformed("/prompt_cache_key: a string is expected");
        request.chatKey = *key;
    }
    if (request.chatKey.size() > maxChatKeyBytes)
        return Error { ErrorKind::RequestTooLarge, "the chat key is longer than " + std::to_string(maxChatKeyBytes) + " bytes" };
    return request;
}

}
