#include <borageslip_traffic/http/HttpMessages.h>
#include <borageslip_traffic/peers/PeerReport.h>

#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

using namespace borageslip;

namespace {

constexpr uint32_t maxHeader = 400;
constexpr uint64_t maxBody = 50;

ErrorKind refusalOf(std::string bytes)
{
    RequestReader reader(maxHeader, maxBody);
    const auto fed = reader.feed(bytes);
    REQUIRE_FALSE(isOk(fed));
    return error(fed).kind;
}

}

TEST_CASE("a request that arrives byte by byte is read completely")
{
    const std::string text = "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    RequestReader reader(maxHeader, maxBody);
    std::string buffer;
    for (const char byte : text) {
        REQUIRE_FALSE(reader.isDone());
        buffer.push_back(byte);
        REQUIRE(isOk(reader.feed(buffer)));
    }
    REQUIRE(reader.isDone());
    const auto request = reader.take();
    CHECK(request.body() == "abcde");
    CHECK(request.target() == "/a/b?c=1");
}

TEST_CASE("bytes after a request stay in the buffer for the next request")
{
    std::string buffer = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\nGET /b/ HTTP/1.1\r\n";
    RequestReader reader(maxHeader, maxBody);
    REQUIRE(isOk(reader.feed(buffer)));
    REQUIRE(reader.isDone());
    CHECK(buffer == "GET /b/ HTTP/1.1\r\n");
}

TEST_CASE("a request with an ambiguous length is rejected, to prevent request smuggling")
{
    CHECK(refusalOf("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == ErrorKind::MalformedRequest);
    CHECK(refusalOf("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd") == ErrorKind::MalformedRequest);
    CHECK(refusalOf("POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n") == ErrorKind::MalformedRequest);
    CHECK(refusalOf("POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, chunked\r\n\r\n") == ErrorKind::MalformedRequest);
    CHECK(refusalOf("POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n") == ErrorKind::MalformedRequest);
}

TEST_CASE("a request without exactly one Host header or with a target that is not a path is rejected")
{
    CHECK(refusalOf("GET /a/ HTTP/1.1\r\n\r\n") == ErrorKind::MalformedRequest);
    CHECK(refusalOf("GET /a/ HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n") == ErrorKind::MalformedRequest);
    CHECK(refusalOf("GET http://h/a/ HTTP/1.1\r\nHost: h\r\n\r\n") == ErrorKind::MalformedRequest);
}

TEST_CASE("a request over a limit is rejected with the error kind of that limit")
{
    CHECK(refusalOf("GET /a/ HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(500, 'x') + "\r\n\r\n") == ErrorKind::HeaderTooLarge);
    CHECK(refusalOf("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 51\r\n\r\n") == ErrorKind::RequestTooLarge);
}

TEST_CASE("a response that ends before its Content-Length is incomplete")
{
    ResponseReader reader(ResponseReader::Body::Expected);
    std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
    REQUIRE(isOk(reader.feed(buffer)));
    CHECK_FALSE(reader.isDone());
    CHECK_FALSE(isOk(reader.handleEof()));
}

// Guards against a response that is taken for lost because its head and its body arrive one after the other.
TEST_CASE("a response that arrives byte by byte is read completely")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto& text : std::vector<std::string> { head + "Content-Length: 3\r\n\r\nabc", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", head + "\r\nabc" }) {
        ResponseReader reader(ResponseReader::Body::Expected);
        std::string buffer;
        for (const char byte : text) {
            buffer.push_back(byte);
            REQUIRE(isOk(reader.feed(buffer)));
        }
        REQUIRE(isOk(reader.handleEof()));
        CHECK(reader.takeBody() == "abc");
    }
}

TEST_CASE("a connection that ends before any byte of a response yields no response")
{
    ResponseReader reader(ResponseReader::Body::Expected);
    CHECK_FALSE(isOk(reader.handleEof()));
    CHECK_FALSE(reader.isDone());
}

TEST_CASE("a response without a length is complete when its connection is closed cleanly")
{
    ResponseReader reader(ResponseReader::Body::Expected);
    std::string buffer = "HTTP/1.1 200 OK\r\n\r\nabc";
    REQUIRE(isOk(reader.feed(buffer)));
    CHECK_FALSE(reader.isDone());
    CHECK(reader.framing() == BodyFraming::UntilClose);
    CHECK(isOk(reader.handleEof()));
    CHECK(reader.takeBody() == "abc");
}

TEST_CASE("bytes after a complete response stay in the buffer")
{
    ResponseReader reader(ResponseReader::Body::Expected);
    std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n";
    REQUIRE(isOk(reader.feed(buffer)));
    CHECK(reader.isDone());
    CHECK(reader.takeBody() == "abc");
    CHECK(buffer == "HTTP/1.1 200 OK\r\n");
}

TEST_CASE("bytes that are not a response are an error, and an interim response is skipped")
{
    ResponseReader garbage(ResponseReader::Body::Expected);
    std::string bytes = "not an answer\r\n\r\n";
    CHECK_FALSE(isOk(garbage.feed(bytes)));

    ResponseReader reader(ResponseReader::Body::Expected);
    std::string buffer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    REQUIRE(isOk(reader.feed(buffer)));
    REQUIRE(reader.isDone());
    CHECK(reader.head().result_int() == 204);
}

// Guards against a status such as 000 or 600 that reaches a caller as the status of its response.
TEST_CASE("a response whose status is not from 200 to 599 is invalid")
{
    for (const auto* status : { "000", "001", "099", "600", "999" }) {
        ResponseReader reader(ResponseReader::Body::Expected);
        std::string buffer = "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 3\r\n\r\nbad";
        INFO(status);
        CHECK_FALSE(isOk(reader.feed(buffer)));
        ResponseReader headReader(ResponseReader::Body::None);
        buffer = "HTTP/1.1 " + std::string(status) + " X\r\n\r\n";
        CHECK_FALSE(isOk(headReader.feed(buffer)));
    }
    for (const auto* status : { "200", "304", "599" }) {
        ResponseReader reader(ResponseReader::Body::Expected);
        std::string buffer = "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 0\r\n\r\n";
        INFO(status);
        REQUIRE(isOk(reader.feed(buffer)));
        CHECK(reader.isDone());
    }
}

// Guards against a status from 100 to 199 that passes as final because it comes with a length and a body.
TEST_CASE("an interim status does not end a response")
{
    for (const auto* status : { "100", "101", "150", "199" }) {
        ResponseReader reader(ResponseReader::Body::Expected);
        std::string buffer = "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 5\r\n\r\n";
        INFO(status);
        REQUIRE(isOk(reader.feed(buffer)));
        CHECK_FALSE(reader.hasHead());
        buffer += "final";
        const bool isRead = isOk(reader.feed(buffer)) && isOk(reader.handleEof());
        CHECK_FALSE(isRead);
    }
}

// Guards against a server or caller that takes the process over its memory limit by a chunk line or trailer without end.
TEST_CASE("the bytes of a message that a parser cannot consume yet are bounded")
{
    const std::string chunked = "Host: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr size_t maxUnparsed = 64 * 1024;
    for (const auto& begin : std::vector<std::string> { "", "5;", "0\r\n", "0\r\nX-Long: ", "3\r\nabc\r\n" }) {
        for (const auto& block : std::vector<std::string> { std::string(1000, '0'), "X-Long: " + std::string(1000, 'x') + "\r\n" }) {
            if (begin.empty() && block.starts_with('X'))
                continue;
            INFO("begin " << begin << " block " << block.substr(0, 8));
            ResponseReader response(ResponseReader::Body::Expected);
            RequestReader request(maxHeader, maxUnparsed);
            std::string responseBytes = "HTTP/1.1 200 OK\r\n" + chunked + begin;
            std::string requestBytes = "POST /a/ HTTP/1.1\r\n" + chunked + begin;
            bool isResponseCut = false;
            bool isRequestCut = false;
            for (int i = 0; i < 1000; ++i) {
                isResponseCut = isResponseCut || !isOk(response.feed(responseBytes));
                isRequestCut = isRequestCut || !isOk(request.feed(requestBytes));
                CHECK((isResponseCut || responseBytes.size() < maxUnparsed));
                CHECK((isRequestCut || requestBytes.size() < maxUnparsed));
                responseBytes += block;
                requestBytes += block;
            }
            CHECK(isResponseCut);
            CHECK(isRequestCut);
        }
    }
}

TEST_CASE("a chunk extension and trailer fields of an ordinary length are accepted")
{
    ResponseReader reader(ResponseReader::Body::Expected);
    std::string buffer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;" + std::string(4000, 'x') + "\r\nabc\r\n0\r\nX-Late: " + std::string(4000, 'x') + "\r\n\r\n";
    REQUIRE(isOk(reader.feed(buffer)));
    CHECK(reader.isDone());
    CHECK(reader.takeBody() == "abc");
}

// Guards against interim responses without end, which keep a request and its connection occupied.
TEST_CASE("the interim responses before a response are bounded")
{
    ResponseReader reader(ResponseReader::Body::Expected);
    std::string buffer;
    bool isCut = false;
    for (int i = 0; i < 100; ++i) {
        buffer += "HTTP/1.1 100 Continue\r\n\r\n";
        isCut = isCut || !isOk(reader.feed(buffer));
    }
    CHECK(isCut);
}

TEST_CASE("parsers of bytes from callers, servers and peers tolerate arbitrary bytes")
{
    std::minstd_rand random(20261204);
    const auto report = encodePeerReport({ "entry-1", 12, 34, true, { { 5, 7, 9 } } });
    const std::array<std::string, 4> texts {
        "POST /a/b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Late: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        std::string(report.begin(), report.end()),
    };
    constexpr int inputs = 20000;
    for (int input = 0; input < inputs; ++input) {
        auto text = texts.at(random() % texts.size());
        for (auto changes = random() % 5; changes > 0 && !text.empty(); --changes) {
            const auto position = random() % text.size();
            if (random() % 2 == 0)
                text[position] = static_cast<char>(random());
            else
                text.erase(position, random() % 6);
        }
        const std::vector<uint8_t> datagram(text.begin(), text.end());
        decodePeerReport(datagram);
        auto forRequest = text;
        RequestReader request(maxHeader, maxBody);
        if (isOk(request.feed(forRequest)) && request.isDone())
            CHECK(request.request().body().size() <= maxBody);
        ResponseReader response(ResponseReader::Body::Expected);
        if (isOk(response.feed(text)) && !response.isDone())
            response.handleEof();
    }
}

TEST_CASE("the body of a stream is delivered as it arrives")
{
    ResponseReader reader(ResponseReader::Body::Expected);
    std::string buffer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
    REQUIRE(isOk(reader.feed(buffer)));
    CHECK(reader.takeBody() == "ab");
    buffer += "1\r\nc\r\n0\r\n\r\n";
    REQUIRE(isOk(reader.feed(buffer)));
    CHECK(reader.takeBody() == "c");
    CHECK(reader.isDone());
}

TEST_CASE("hop-by-hop fields are removed, including those listed in the Connection field")
{
    boost::beast::http::fields fields;
    fields.insert("Connection", "keep-alive, X-Private");
    fields.insert("X-Private", "1");
    fields.insert("Keep-Alive", "timeout=5");
    fields.insert("X-Public", "2");
    removeHopByHopFields(fields);
    CHECK(fields.count("X-Public") == 1);
    CHECK(std::distance(fields.begin(), fields.end()) == 1);
}

TEST_CASE("the Keep-Alive timeout is parsed, and a malformed one counts as not stated")
{
    HttpResponseHead head;
    CHECK_FALSE(keepAliveTime(head));
    head.set("Keep-Alive", "timeout=5, max=100");
    CHECK(keepAliveTime(head) == std::chrono::seconds(5));
    head.set("Keep-Alive", "timeout=soon");
    CHECK_FALSE(keepAliveTime(head));
}

// Guards against a text of others that ends a field of a request, or arrives as another one.
TEST_CASE("only a text that arrives unchanged can be the value of a header field")
{
    for (const auto* text : { "", "w", "w-1", "a b", "a\tb", "\"a\\\"", "&+#%=?;:,", "\xc3\xa4" })
        CHECK(isFieldValue(text));
    const std::vector<std::string> others { " ", "a ", " a", "a\t", "\ta", "a\r\nX-A: b", "a\rb", "a\nb", "a\r", std::string("a\0b", 3), "a\x1f", "a\x7f" };
    for (const auto& text : others)
        CHECK_FALSE(isFieldValue(text));
}

TEST_CASE("a message with a control character in a field is malformed")
{
    for (const char character : { '\0', '\r', '\n', '\x1b', '\x7f' }) {
        const auto field = std::string("X-A: b") + character + "c: d\r\n\r\n";
        RequestReader request(4096, 4096);
        auto requestBytes = "GET /a HTTP/1.1\r\nHost: h\r\n" + field;
        ResponseReader response(ResponseReader::Body::Expected);
        auto responseBytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + field;
        INFO(static_cast<int>(character));
        CHECK_FALSE(isOk(request.feed(requestBytes)));
        CHECK_FALSE(isOk(response.feed(responseBytes)));
    }
}
