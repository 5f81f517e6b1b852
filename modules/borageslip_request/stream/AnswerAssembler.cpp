#include "AnswerAssembler.h"

#include <utility>

namespace borageslip {

namespace {

    void appendText(nlohmann::json& target, const nlohmann::json& text)
    {
        if (!text.is_string())
            return;
        target = (target.is_string() ? target.get<std::string>() : std::string {}) + text.get_ref<const std::string&>();
    }

    void mergeToolCall(nlohmann::json& calls, const nlohmann::json& part)
    {
        // Bounds the list if an engine sends invalid indexes.
        constexpr size_t maxToolCalls = 128;
        const auto index = part.value("index", size_t { 0 });
        if (index >= maxToolCalls)
            return;
        while (calls.size() <= index)
            calls.push_back({ { "type", "function" }, { "function", { { "name", "" }, { "arguments", "" } } } });
        auto& call = calls[index];
        if (part.contains("id"))
            call["id"] = part["id"];
        const auto function = part.find("function");
        if (function == part.end() || !function->is_object())
            return;
        for (const auto* field : { "name", "arguments" }) {
            if (function->contains(field))
                appendText(call["function"][field], (*function)[field]);
        }
    }

}

AnswerAssembler::AnswerAssembler(std::string id)
    : m_id(std::move(id))
{
}

Status AnswerAssembler::add(const StreamChunk& chunk)
{
    if (!isChunkOf(chunk, m_id))
        return Error { ErrorKind::InvalidMessage, "received a chunk of another request" };
    if (chunk.offset != m_tokens)
        return Error { ErrorKind::InvalidMessage, "a chunk has offset " + std::to_string(chunk.offset) + " instead of " + std::to_string(m_tokens) };
    if (m_hasLastChunk)
        return Error { ErrorKind::InvalidMessage, "received a chunk after the last one" };
    m_tokens += chunk.tokens;
    m_hasLastChunk = chunk.isLast;
    if (chunk.completionTokens)
        m_completionTokens = chunk.completionTokens;
    for (const auto& [name, field] : chunk.body.items()) {
        if (name != "choices" && name != "offset" && name != "tokens")
            m_topLevelFields[name] = field;
    }
    for (const auto& choice : chunk.body["choices"]) {
        if (choice.is_object())
            addToChoice(choice);
    }
    return ok();
}

void AnswerAssembler::addToChoice(const nlohmann::json& part)
{
    const auto index = part.find("index");
    auto& choice = m_choices[index != part.end() && index->is_number_integer() ? index->get<int>() : 0];
    if (const auto reason = part.find("finish_reason"); reason != part.end() && !reason->is_null())
        choice.finishReason = *reason;
    const auto delta = part.find("delta");
    if (delta == part.end() || !delta->is_object())
        return;
    for (const auto& [name, field] : delta->items()) {
        if (name == "role")
            choice.message["role"] = field;
        else if (name == "tool_calls" && field.is_array()) {
            for (const auto& call : field) {
                if (call.is_object())
                    mergeToolCall(choice.message["tool_calls"], call);
            }
        } else
            appendText(choice.message[name], field);
    }
}

Result<nlohmann::json> AnswerAssembler::finish() const
{
    if (!m_hasLastChunk)
        return Error { ErrorKind::InvalidMessage, "the stream ended without its last chunk" };
    if (!m_completionTokens)
        return Error { ErrorKind::InvalidMessage, "the last chunk has no completion_tokens in its usage" };
    if (*m_completionTokens != m_tokens)
        return Error { ErrorKind::InvalidMessage, "received " + std::to_string(m_tokens) + " tokens of " + std::to_string(*m_completionTokens) };
    auto answer = m_topLevelFields;
    answer["object"] = "chat.completion";
    answer["choices"] = nlohmann::json::array();
    for (const auto& [index, choice] : m_choices)
        answer["choices"].push_back({ { "index", index }, { "message", choice.message }, { "finish_reason", choice.finishReason } });
    return answer;
}

}
