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

/** How the end of a message body is determined. */
enum class BodyFraming {
    Length,
    Chunked,
    UntilClose,
};

/** Incremental parser of one HTTP request. Not thread-safe. */
class RequestReader {
public:
    RequestReader(uint32_t maxHeaderBytes, uint64_t maxBodyBytes);

    /** Parses as much as possible and removes the parsed bytes from `bytes`. What remains is bounded.
        Errors: MalformedRequest, HeaderTooLarge, RequestTooLarge. */
    Status feed(std::string& bytes);

    bool hasHead() const { return m_parser.is_header_done(); }
    bool isDone() const { return m_parser.is_done(); }
    const HttpRequest& request() const { return m_parser.get(); }

    /** Bytes of the body that have been received. */
    size_t bodyBytes() const { return m_parser.get().body().size(); }

    /** Whether the caller waits for "100 Continue" before it sends the body. */
    bool expectsContinue() const;

    /** Moves the request out of the reader. Call it only once isDone() is true. */
    HttpRequest take() { return m_parser.release(); }

private:
    Status checkHead() const;

    boost::beast::http::request_parser<boost::beast::http::string_body> m_parser;
    bool m_isHeadChecked = false;
};

/** Incremental parser of one HTTP response of a backend server; skips interim (1xx) responses. Not thread-safe. */
class ResponseReader {
public:
    /** Whether the response may have a body: a response to HEAD never has one. */
    enum class Body {
        Expected,
        None,
    };

    explicit ResponseReader(Body);

    /** Parses as much as possible and removes the parsed bytes from `bytes`. Bytes after the end of the response are
        kept; before its end, what remains is bounded. Errors: InvalidMessage if the bytes are not a valid response, also
        if its status is not from 200 to 599. */
    Status feed(std::string& bytes);

    /** To be called when the server closed the connection cleanly. Errors: InvalidMessage if the response is
        incomplete. */
    Status handleEof();

    bool hasHead() const { return m_parser->is_header_done(); }
    bool isDone() const { return m_parser->is_done(); }
    const HttpResponseHead& head() const { return m_parser->get(); }
    BodyFraming framing() const;
    std::optional<uint64_t> contentLength() const;

    /** Whether the head shows where the body ends, or that there is none by the status. False for a response to HEAD that
        states no length. */
    bool hasStatedLength() const;

    /** Whether the connection can be reused after this response. */
    bool keepsConnection() const { return m_parser->keep_alive(); }

    /** Returns the body bytes received since the last call. */
    std::string takeBody();

    /** Number of the body bytes that takeBody() would return. */
    size_t bodyBytes() const { return m_parser->get().body().size(); }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    Status checkStatus() const;
    void resetParser();

    Body m_body;
    std::optional<Parser> m_parser;
    int m_interimResponses = 0;
};

/** Whether a text can be sent as the value of a header field and arrives unchanged: it has no control characters but tabs, and
    no space or tab at either end (RFC 9110, 5.5). */
bool isFieldValue(std::string_view text);

/** Whether the header field is hop-by-hop or describes the framing, and is therefore not forwarded. */
bool isHopByHopField(std::string_view name);

/** Removes the hop-by-hop fields, including those listed in the Connection field. */
void removeHopByHopFields(boost::beast::http::fields&);

/** What the response to a request for a stream contains, by its Content-Type. */
enum class StreamBodyType {
    Events, ///< Server-sent events.
    Unstated, ///< No type is stated; most probably events.
    Other,
};
StreamBodyType streamBodyType(const HttpResponseHead&);

/** Returns the timeout parameter of the Keep-Alive field, if present and valid. */
std::optional<std::chrono::seconds> keepAliveTime(const HttpResponseHead&);

/** Serializes the request line and header, and adds Content-Length for a body of `bodyBytes`. */
std::string serializeRequestHead(const HttpRequest&, size_t bodyBytes);

/** Serializes the status line and header without the final blank line, so that framing fields can be appended. */
std::string serializeResponseHead(const HttpResponseHead&);

}
