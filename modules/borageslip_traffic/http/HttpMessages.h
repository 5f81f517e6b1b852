#pragma once

#include <borageslip_core/errors/Result.h>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace borageslip {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponseHead = boost::beast::http::response_header<>;

/** How the end of a body is found. */
enum class BodyFraming {
    Length,
    Chunked,
    UntilClose,
};

/** Parses one request from bytes as they arrive. Not thread-safe. */
class RequestReader {
public:
    RequestReader(uint32_t maxHeaderBytes, uint64_t maxBodyBytes);

    /** Parses what it can and removes it from `bytes`.
        Errors: MalformedRequest, HeaderTooLarge, RequestTooLarge. */
    Status feed(std::string& bytes);

    bool hasHead() const { return m_parser.is_header_done(); }
    bool isDone() const { return m_parser.is_done(); }
    const HttpRequest& request() const { return m_parser.get(); }

    /** Whether the caller waits for an interim answer before it sends the body. */
    bool expectsContinue() const;

    /** Returns the whole request; valid once isDone() holds. */
    HttpRequest take() { return m_parser.release(); }

private:
    Status checkHead() const;

    boost::beast::http::request_parser<boost::beast::http::string_body> m_parser;
    bool m_isHeadChecked = false;
};

/** Parses one answer of a backend server from bytes as they arrive; interim answers are passed over. Not thread-safe. */
class ResponseReader {
public:
    /** Whether the answer has a body: an answer to HEAD never has one. */
    enum class Body {
        Expected,
        None,
    };

    explicit ResponseReader(Body);

    /** Parses what it can and removes it from `bytes`. Bytes after the end of the answer stay.
        Errors: InvalidMessage for bytes that are no answer. */
    Status feed(std::string& bytes);

    /** To be called when the connection has ended in order. Errors: InvalidMessage when the answer is not complete. */
    Status handleEof();

    bool hasHead() const { return m_parser->is_header_done(); }
    bool isDone() const { return m_parser->is_done(); }
    const HttpResponseHead& head() const { return m_parser->get(); }
    BodyFraming framing() const;
    std::optional<uint64_t> contentLength() const;

    /** Whether the connection may carry another request after this answer. */
    bool keepsConnection() const { return m_parser->keep_alive(); }

    /** Returns the body's bytes that have arrived since the last call. */
    std::string takeBody();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void resetParser();

    Body m_body;
    std::optional<Parser> m_parser;
};

/** Whether the field concerns one connection only and is not forwarded. */
bool isHopByHopField(std::string_view name);

/** Removes the fields that concern one connection only, with those that the Connection field names. */
void removeHopByHopFields(boost::beast::http::fields&);

/** Returns how long the sender of the head keeps an idle connection, if it says so. */
std::optional<std::chrono::seconds> keepAliveTime(const HttpResponseHead&);

/** Returns a request's head as bytes, with the length of the body that follows it. */
std::string serializeRequestHead(const HttpRequest&, size_t bodyBytes);

/** Returns a response head as bytes; the framing fields are the caller's to add to it. */
std::string serializeResponseHead(const HttpResponseHead&);

}
