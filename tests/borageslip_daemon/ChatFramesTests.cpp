#include <borageslip_daemon/borageslip_daemon.h>

#include <catch2/catch.hpp>

using namespace borageslip;

namespace {

std::string eventData(const std::string& event)
{
    REQUIRE(event.starts_with("data: "));
    REQUIRE(event.ends_with("\n\n"));
    return event.substr(6, event.size() - 8);
}

}

TEST_CASE("a chunk frame keeps the engine's JSON unchanged")
{
    const std::string json = R"({"choices":[{"delta":{"content":"12 3 !"}}]})";
    const auto data = eventData(encodeFrame(ChunkFrame { 17, 2, json }));
    const auto frame = parseFrame(data);
    REQUIRE(isOk(frame));
    const auto& chunk = std::get<ChunkFrame>(value(frame));
    CHECK(chunk.offset == 17);
    CHECK(chunk.tokens == 2);
    CHECK(chunk.json == json);
}

TEST_CASE("an end frame keeps the error and the number of chunks")
{
    for (const auto& row : errorTable()) {
        const auto data = eventData(encodeFrame(EndFrame { Error { row.kind, "because" }, 9 }));
        const auto frame = parseFrame(data);
        REQUIRE(isOk(frame));
        const auto& end = std::get<EndFrame>(value(frame));
        CHECK(end.failure->kind == row.kind);
        CHECK(end.chunks == 9);
    }
}

TEST_CASE("malformed frames are errors and are never read as the end of a complete response")
{
    for (const std::string_view data : { "", "!", "!{}", "!{\"chunks\":-1}", "!{\"chunks\":1,\"kind\":\"no-such\",\"detail\":\"\"}", "1", "1 ", "1 2", "x 2 {}", "1 x {}", "99999999999999999999 1 {}" }) {
        INFO(data);
        CHECK_FALSE(isOk(parseFrame(data)));
    }
}
