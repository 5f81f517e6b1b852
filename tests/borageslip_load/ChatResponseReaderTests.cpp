#include <borageslip_load/borageslip_load.h>
#include <catch2/catch.hpp>

using namespace borageslip;
using State = ChatResponseReader::State;

namespace {

std::string chunk(uint64_t offset, const std::string& text)
{
    return "data: " + nlohmann::json { { "offset", offset }, { "choices", { { { "delta", { { "content", text } } } } } } }.dump() + "\n\n";
}

constexpr auto usageEvent = R"(data: {"offset":2,"choices":[{"delta":{}}],"usage":{"prompt_tokens":10,"prompt_tokens_details":{"cached_tokens":8}}})"
                            "\n\n";

ChatResponseReader::Response read(const std::string& events)
{
    ChatResponseReader reader([] {});
    reader.parseEvents(events);
    return reader.response();
}

}

TEST_CASE("a complete stream gives the same result for every chunk size")
{
    const auto events = chunk(0, "wa ") + chunk(1, "wb ") + usageEvent + "data: [DONE]\n\n";
    for (size_t size = 1; size < events.size(); ++size) {
        int tokens = 0;
        ChatResponseReader reader([&] { ++tokens; });
        for (size_t at = 0; at < events.size(); at += size)
            reader.parseEvents(std::string_view(events).substr(at, size));
        REQUIRE(reader.response().state == State::Done);
        REQUIRE(reader.response().text == "wa wb ");
        REQUIRE(reader.response().cachedTokens == 8);
        REQUIRE(tokens == 2);
    }
}

TEST_CASE("a stream without [DONE] is incomplete")
{
    CHECK(read(chunk(0, "wa ") + usageEvent).state == State::Open);
}

TEST_CASE("a token that is lost, repeated or sent after [DONE] makes the stream malformed")
{
    CHECK(read(chunk(0, "wa ") + chunk(2, "wc ") + "data: [DONE]\n\n").state == State::Malformed);
    CHECK(read(chunk(0, "wa ") + chunk(0, "wa ") + "data: [DONE]\n\n").state == State::Malformed);
    CHECK(read(chunk(0, "wa ") + "data: [DONE]\n\n" + chunk(1, "wb ")).state == State::Malformed);
}

TEST_CASE("a final error event sets the error kind and does not count as a complete response")
{
    const auto answer = read(chunk(0, "wa ") + "data: {\"kind\":\"engine-failed\",\"not_run\":false}\n\ndata: [DONE]\n\n");
    CHECK(answer.state == State::Error);
    CHECK(answer.errorKind == "engine-failed");
    CHECK_FALSE(answer.isNotRun);
}

TEST_CASE("problem details give the error kind and not_run, and a body without them never counts as not run")
{
    ChatResponseReader typed([] {});
    typed.parseProblemDetails(R"({"kind":"overloaded","not_run":true})", 503);
    CHECK(typed.response().errorKind == "overloaded");
    CHECK(typed.response().isNotRun);
    ChatResponseReader bare([] {});
    bare.parseProblemDetails("gateway error", 502);
    CHECK(bare.response().errorKind == "status-502");
    CHECK_FALSE(bare.response().isNotRun);
}
