#include "ChatResponseReader.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr std::string_view prefix = "data:";

}

ChatResponseReader::ChatResponseReader(std::function<void()> onToken)
    : m_onToken(std::move(onToken))
{
}

void ChatResponseReader::parseEvents(std::string_view bytes)
{
    m_buffer += bytes;
    size_t start = 0;
    for (size_t end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', start)) {
        auto line = std::string_view(m_buffer).substr(start, end - start);
        start = end + 1;
        if (!line.starts_with(prefix))
            continue;
        line.remove_prefix(prefix.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        while (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        handleEvent(line);
    }
    m_buffer.erase(0, start);
}

void ChatResponseReader::handleEvent(std::string_view data)
{
    if (m_response.state == State::Done)
        return setMalformed("an event after [DONE]");
    if (m_response.state != State::Open)
        return;
    if (data == "[DONE]") {
        m_response.state = State::Done;
        return;
    }
    const auto body = nlohmann::json::parse(data, nullptr, false);
    if (!body.is_object())
        return setMalformed("an event that is not a JSON object");
    if (body.contains("kind") && body.contains("not_run"))
        return setError(body);
    if (const auto nested = body.find("error"); nested != body.end() && nested->is_object())
        return setError(*nested);
    readUsage(body);
    const auto text = body.value(nlohmann::json::json_pointer("/choices/0/delta/content"), std::string());
    if (text.empty())
        return;
    if (body.value("offset", m_response.tokens) != m_response.tokens)
        return setMalformed("offset " + body["offset"].dump() + " after " + std::to_string(m_response.tokens) + " tokens");
    // Each token of the stand-in engine ends with a space, so spaces count tokens.
    m_response.tokens += static_cast<uint64_t>(std::count(text.begin(), text.end(), ' '));
    m_response.text += text;
    m_onToken();
}

void ChatResponseReader::parseBody(std::string_view body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
        return setMalformed("the answer is not a JSON object");
    readUsage(document);
    m_response.text = document.value(nlohmann::json::json_pointer("/choices/0/message/content"), std::string());
    m_response.tokens = static_cast<uint64_t>(std::count(m_response.text.begin(), m_response.text.end(), ' '));
    m_response.state = State::Done;
    m_onToken();
}

void ChatResponseReader::parseProblemDetails(std::string_view body, int status)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (document.is_object())
        setError(document);
    m_response.state = State::Error;
    if (m_response.errorKind.empty())
        m_response.errorKind = "status-" + std::to_string(status);
}

void ChatResponseReader::readUsage(const nlohmann::json& body)
{
    const auto found = body.find("usage");
    if (found == body.end() || !found->is_object())
        return;
    m_response.promptTokens = found->value("prompt_tokens", uint64_t { 0 });
    m_response.cachedTokens = found->value(nlohmann::json::json_pointer("/prompt_tokens_details/cached_tokens"), uint64_t { 0 });
}

void ChatResponseReader::setError(const nlohmann::json& body)
{
    m_response.state = State::Error;
    const auto kind = body.find("kind");
    m_response.errorKind = kind != body.end() && kind->is_string() ? kind->get<std::string>() : "";
    const auto notRun = body.find("not_run");
    m_response.isNotRun = notRun != body.end() && *notRun == true;
}

void ChatResponseReader::setMalformed(std::string text)
{
    m_response.state = State::Malformed;
    m_response.problem = std::move(text);
}

}
