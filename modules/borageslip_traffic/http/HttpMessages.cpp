#include "HttpMessages.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <limits>
#include <vector>

namespace borageslip {

namespace http = boost::beast::http;

namespace {

    constexpr size_t maxControlBytes = 16 * 1024; ///< Of a chunk's size line or the trailer fields, which are parsed only once they are complete.
    constexpr int maxInterimResponses = 16; ///< Before one response.
    constexpr unsigned minFinalStatus = 200;
    constexpr unsigned maxFinalStatus = 599;

    std::string_view viewOf(boost::beast::string_view text)
    {
        return { text.data(), text.size() };
    }

    Error requestError(boost::beast::error_code failure)
    {
        if (failure == http::error::header_limit)
            return { ErrorKind::HeaderTooLarge, "the header exceeds the configured limit" };
        if (failure == http::error::body_limit)
            return { ErrorKind::RequestTooLarge, "the body exceeds the configured limit" };
        if (failure == http::error::buffer_overflow)
            return { ErrorKind::MalformedRequest, "the size line of a chunk or the trailer fields are too long" };
        return { ErrorKind::MalformedRequest, failure.message() };
    }

    /** Feeds bytes to a parser until it is done, needs more input or fails; removes the consumed bytes. Fails also if what
        the parser cannot consume yet is too long. */
    template <typename Parser>
    boost::beast::error_code feedParser(Parser& parser, std::string& bytes)
    {
        size_t consumed = 0;
        boost::beast::error_code failure;
        while (consumed < bytes.size() && !parser.is_done()) {
            const auto count = parser.put(boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed), failure);
            consumed += count;
            if (failure || count == 0)
                break;
        }
        bytes.erase(0, consumed);
        if (failure == http::error::need_more)
            failure = {};
        // The parser bounds an incomplete head itself.
        if (!failure && parser.is_header_done() && !parser.is_done() && bytes.size() > maxControlBytes)
            failure = http::error::buffer_overflow;
        return failure;
    }

}

RequestReader::RequestReader(uint32_t maxHeaderBytes, uint64_t maxBodyBytes)
{
    m_parser.eager(true);
    m_parser.header_limit(maxHeaderBytes);
    m_parser.body_limit(maxBodyBytes);
}

Status RequestReader::feed(std::string& bytes)
{
    if (const auto failure = feedParser(m_parser, bytes))
        return requestError(failure);
    if (hasHead() && !m_isHeadChecked) {
        m_isHeadChecked = true;
        return checkHead();
    }
    return ok();
}

Status RequestReader::checkHead() const
{
    const auto& head = m_parser.get();
    // Prevents request smuggling: if the backend server interpreted the framing differently, part of the body could be
    // taken for a second request.
    if (head.count(http::field::transfer_encoding) > 0) {
        if (head.count(http::field::transfer_encoding) > 1 || !boost::beast::iequals(head[http::field::transfer_encoding], "chunked"))
            return Error { ErrorKind::MalformedRequest, "unsupported Transfer-Encoding" };
        if (head.count(http::field::content_length) > 0 || head.version() < 11)
            return Error { ErrorKind::MalformedRequest, "ambiguous body length: Transfer-Encoding with Content-Length or before HTTP/1.1" };
    }
    if (head.count(http::field::host) != 1)
        return Error { ErrorKind::MalformedRequest, "exactly one Host header is required" };
    if (head.target().empty() || head.target().front() != '/')
        return Error { ErrorKind::MalformedRequest, "the request target must be an absolute path" };
    return ok();
}

bool RequestReader::expectsContinue() const
{
    return boost::beast::iequals(m_parser.get()[http::field::expect], "100-continue");
}

ResponseReader::ResponseReader(Body body)
    : m_body(body)
{
    resetParser();
}

void ResponseReader::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    // Boost 1.74 takes boost::none for a limit of zero when a head with Content-Length arrives without bytes of its body.
    m_parser->body_limit(std::numeric_limits<uint64_t>::max());
    if (m_body == Body::None)
        m_parser->skip(true);
}

Status ResponseReader::feed(std::string& bytes)
{
    while (true) {
        if (const auto failure = feedParser(*m_parser, bytes))
            return Error { ErrorKind::InvalidMessage, failure.message() };
        const bool isInterim = m_parser->is_header_done() && m_parser->get().result_int() / 100 == 1;
        if (!isInterim)
            return checkStatus();
        if (++m_interimResponses > maxInterimResponses)
            return Error { ErrorKind::InvalidMessage, "too many interim responses" };
        resetParser();
    }
}

Status ResponseReader::checkStatus() const
{
    if (!hasHead())
        return ok();
    const auto status = m_parser->get().result_int();
    if (status < minFinalStatus || status > maxFinalStatus)
        return Error { ErrorKind::InvalidMessage, "the status is not from 200 to 599" };
    return ok();
}

Status ResponseReader::handleEof()
{
    if (isDone())
        return ok();
    boost::beast::error_code failure;
    if (hasHead())
        m_parser->put_eof(failure);
    if (failure || !isDone())
        return Error { ErrorKind::InvalidMessage, "the connection was closed before the response was complete" };
    return ok();
}

BodyFraming ResponseReader::framing() const
{
    if (m_parser->chunked())
        return BodyFraming::Chunked;
    return m_parser->need_eof() ? BodyFraming::UntilClose : BodyFraming::Length;
}

std::optional<uint64_t> ResponseReader::contentLength() const
{
    const auto length = m_parser->content_length();
    return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

bool ResponseReader::hasStatedLength() const
{
    const auto status = m_parser->get().result();
    return m_parser->chunked() || m_parser->content_length() || status == http::status::no_content || status == http::status::not_modified;
}

std::string ResponseReader::takeBody()
{
    std::string body;
    body.swap(m_parser->get().body());
    return body;
}

bool isFieldValue(std::string_view text)
{
    const auto isBlank = [](char character) { return character == ' ' || character == '\t'; };
    const auto isControl = [](char character) { return (static_cast<unsigned char>(character) < ' ' && character != '\t') || character == '\x7f'; };
    const bool hasBlankEnd = !text.empty() && (isBlank(text.front()) || isBlank(text.back()));
    return !hasBlankEnd && std::none_of(text.begin(), text.end(), isControl);
}

bool isHopByHopField(std::string_view name)
{
    static constexpr std::array<std::string_view, 11> names { "connection", "content-length", "expect", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade" };
    return std::any_of(names.begin(), names.end(), [name](std::string_view known) { return boost::beast::iequals(boost::beast::string_view(name.data(), name.size()), boost::beast::string_view(known.data(), known.size())); });
}

void removeHopByHopFields(http::fields& fields)
{
    std::vector<std::string> named;
    for (const auto& token : http::token_list(fields[http::field::connection]))
        named.emplace_back(token.data(), token.size());
    for (const auto& name : named)
        fields.erase(name);
    for (auto field = fields.begin(); field != fields.end();) {
        if (isHopByHopField(viewOf(field->name_string())))
            field = fields.erase(field);
        else
            ++field;
    }
}

StreamBodyType streamBodyType(const HttpResponseHead& head)
{
    constexpr boost::beast::string_view eventStream = "text/event-stream";
    const auto type = head[boost::beast::http::field::content_type];
    if (type.empty())
        return StreamBodyType::Unstated;
    return boost::beast::iequals(type.substr(0, eventStream.size()), eventStream) ? StreamBodyType::Events : StreamBodyType::Other;
}

std::optional<std::chrono::seconds> keepAliveTime(const HttpResponseHead& head)
{
    constexpr std::string_view parameter = "timeout=";
    const auto field = head[http::field::keep_alive];
    const std::string_view text(field.data(), field.size());
    const auto start = text.find(parameter);
    if (start == std::string_view::npos)
        return std::nullopt;
    int seconds = 0;
    const auto* digits = text.data() + start + parameter.size();
    if (std::from_chars(digits, text.data() + text.size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

namespace {

    void appendFields(std::string& text, const http::fields& fields)
    {
        for (const auto& field : fields) {
            text.append(viewOf(field.name_string())).append(": ");
            text.append(viewOf(field.value())).append("\r\n");
        }
    }

}

std::string serializeRequestHead(const HttpRequest& request, size_t bodyBytes)
{
    std::string text;
    text.reserve(512);
    text.append(viewOf(request.method_string())).append(" ").append(viewOf(request.target())).append(" HTTP/1.1\r\n");
    appendFields(text, request);
    // GET and HEAD without a body get no Content-Length, as in the request of the caller.
    const bool hasLength = bodyBytes > 0 || (request.method() != http::verb::get && request.method() != http::verb::head);
    if (hasLength)
        text.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n");
    return text.append("\r\n");
}

std::string serializeResponseHead(const HttpResponseHead& head)
{
    std::string text;
    text.reserve(512);
    text.append("HTTP/1.1 ").append(std::to_string(head.result_int())).append(" ").append(viewOf(head.reason())).append("\r\n");
    appendFields(text, head);
    return text;
}

}
