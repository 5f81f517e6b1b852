#include "ChatCall.h"

#include <charconv>

namespace borageslip {

namespace {

    template <typename Number>
    bool readNumber(const InnerHeaders& headers, std::string_view name, Number& number)
    {
        const auto text = headerOr(headers, name);
        const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
        return failure == std::errc() && end == text.data() + text.size() && !text.empty();
    }

}

InnerRequest ChatCall::toInnerRequest(TimePoint now) const
{
    const auto remainingTime = std::chrono::duration_cast<std::chrono::milliseconds>(query.deadline - now).count();
    return {
        "/inner/chat",
        {
            { "x-request-id", query.request.text() },
            { "x-account", query.account.text() },
            { "x-model", query.model.text() },
            { "x-engine", query.engine.text() },
            { "x-chat", std::to_string(query.chat.hash) },
            { "x-priority", std::to_string(query.priority) },
            { "x-max-tokens", std::to_string(query.maxTokens) },
            { "x-prompt-tokens", std::to_string(query.promptTokens) },
            { "x-deadline-ms", std::to_string(remainingTime) },
            { "x-rank", std::to_string(query.rank) },
            { "x-first-choice", query.isFirstChoice ? "1" : "0" },
            { "x-last-served", std::to_string(query.lastServed) },
            { "x-redirectable", query.isRedirectable ? "1" : "0" },
            { "x-resume-offset", std::to_string(resumeOffset) },
        },
        body,
    };
}

Result<ChatCall> ChatCall::fromInnerRequest(InnerRequest request, TimePoint now)
{
    ChatCall call;
    const auto& headers = request.headers;
    int64_t remainingTime = 0;
    int redirectable = 0;
    int firstChoice = 0;
    const bool isValid = readNumber(headers, "x-chat", call.query.chat.hash) && readNumber(headers, "x-priority", call.query.priority)
        && readNumber(headers, "x-max-tokens", call.query.maxTokens) && readNumber(headers, "x-prompt-tokens", call.query.promptTokens)
        && readNumber(headers, "x-deadline-ms", remainingTime) && readNumber(headers, "x-redirectable", redirectable) && readNumber(headers, "x-rank", call.query.rank)
        && readNumber(headers, "x-first-choice", firstChoice) && readNumber(headers, "x-last-served", call.query.lastServed)
        && readNumber(headers, "x-resume-offset", call.resumeOffset);
    call.query.request = RequestId(headerOr(headers, "x-request-id"));
    call.query.account = AccountId(headerOr(headers, "x-account"));
    call.query.model = ModelId(headerOr(headers, "x-model"));
    call.query.engine = EngineId(headerOr(headers, "x-engine"));
    call.query.isRedirectable = redirectable == 1;
    call.query.isFirstChoice = firstChoice == 1;
    call.query.deadline = now + std::chrono::milliseconds(remainingTime);
    if (!isValid || call.query.request.isEmpty() || call.query.engine.isEmpty() || call.query.model.isEmpty())
        return Error { ErrorKind::InvalidMessage, "malformed inner chat request" };
    call.body = std::move(request.body);
    return call;
}

InnerRequest ChatPlacedNotice::toInnerRequest() const
{
    return { "/inner/placed", { { "x-chat", std::to_string(chat.hash) }, { "x-served-at", std::to_string(servedAt) } }, "" };
}

Result<ChatPlacedNotice> ChatPlacedNotice::fromInnerRequest(const InnerRequest& request)
{
    ChatPlacedNotice notice;
    if (!readNumber(request.headers, "x-chat", notice.chat.hash) || !readNumber(request.headers, "x-served-at", notice.servedAt))
        return Error { ErrorKind::InvalidMessage, "malformed chat placement notice" };
    return notice;
}

}
