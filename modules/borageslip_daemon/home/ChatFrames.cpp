#include "ChatFrames.h"

#include <charconv>

namespace borageslip {

namespace {

    constexpr char endMarker = '!';

    std::optional<uint64_t> parseNumber(std::string_view& text)
    {
        uint64_t number = 0;
        const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (failure != std::errc() || end == text.data() + text.size() || *end != ' ')
            return std::nullopt;
        text.remove_prefix(static_cast<size_t>(end - text.data()) + 1);
        return number;
    }

    Error malformed() { return { ErrorKind::InvalidMessage, "malformed frame from the home" }; }

    Result<ChatFrame> parseEnd(std::string_view json)
    {
        const auto body = nlohmann::json::parse(json, nullptr, false);
        if (!body.is_object() || !body.contains("chunks") || !body["chunks"].is_number_unsigned())
            return malformed();
        EndFrame end;
        end.chunks = body["chunks"];
        if (!body.contains("kind"))
            return ChatFrame { end };
        if (!body["kind"].is_string() || !body.contains("detail") || !body["detail"].is_string())
            return malformed();
        const auto kind = errorKindFromName(body["kind"].get<std::string>());
        if (!kind)
            return malformed();
        end.failure = Error { *kind, body["detail"] };
        return ChatFrame { end };
    }

}

std::string encodeFrame(const ChunkFrame& frame)
{
    std::string text = "data: " + std::to_string(frame.offset) + " " + std::to_string(frame.tokens) + " ";
    text += frame.json;
    text += "\n\n";
    return text;
}

std::string encodeFrame(const EndFrame& frame)
{
    nlohmann::json body { { "chunks", frame.chunks } };
    if (frame.failure) {
        body["kind"] = errorTraits(frame.failure->kind).name;
        body["detail"] = frame.failure->detail;
    }
    return std::string("data: ") + endMarker + body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n";
}

Result<ChatFrame> parseFrame(std::string_view data)
{
    if (data.empty())
        return malformed();
    if (data.front() == endMarker)
        return parseEnd(data.substr(1));
    ChunkFrame chunk;
    const auto offset = parseNumber(data);
    const auto tokens = offset ? parseNumber(data) : std::nullopt;
    if (!tokens)
        return malformed();
    chunk.offset = *offset;
    chunk.tokens = *tokens;
    chunk.json = data;
    return ChatFrame { chunk };
}

}
