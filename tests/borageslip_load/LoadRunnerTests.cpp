#include <borageslip_history/borageslip_history.h>
#include <borageslip_load/borageslip_load.h>
#include <catch2/catch.hpp>
#include <filesystem>
#include <unistd.h>

using namespace borageslip;

namespace {

std::string addressOf(const HttpListener& listener)
{
    return "127.0.0.1:" + std::to_string(listener.port());
}

// Sends one request of the class and returns its completion event from the history.
nlohmann::json completionOf(const HttpListener& listener, LoadMix::RequestClass requestClass)
{
    LoadMix mix;
    mix.accounts = { { "account", "key" } };
    requestClass.name = "class";
    mix.classes = { std::move(requestClass) };
    PlannedRequest planned;
    planned.id = "r";
    planned.chat = "chat";
    planned.promptTokens = 5;
    planned.maxTokens = 2;
    const SystemClock clock;
    DirectoryClient directory({ addressOf(listener) }, clock);
    const auto path = std::filesystem::temp_directory_path() / ("borageslip-load-test-" + std::to_string(::getpid()));
    LoadResults results;
    {
        HistoryWriter history(path);
        LoadRunner(mix, {}, directory, history, results, clock).run(std::span(&planned, 1));
    }
    size_t invalidLineCount = 0;
    const auto events = parseHistory(value(readFile(path)), invalidLineCount);
    std::filesystem::remove(path);
    REQUIRE(invalidLineCount == 0);
    REQUIRE(events.size() == 2);
    CHECK(events[0]["event"] == "invoke");
    CHECK(results.summary()["all"]["requests"] == 1);
    return events[1];
}

std::string tokenEvent(const std::string& seed, size_t offset)
{
    return "data: " + nlohmann::json { { "offset", offset }, { "choices", { { { "delta", { { "content", answerToken(seed, offset) } } } } } } }.dump() + "\n\n";
}

}

TEST_CASE("a directory response is cached until it expires and then requested again")
{
    ManualClock clock;
    HttpListener listener({});
    int requestCount = 0;
    listener.server().Get("/v1/entries", [&](const httplib::Request& request, httplib::Response& response) {
        ++requestCount;
        CHECK(request.get_header_value("Authorization") == "Bearer key");
        response.set_content(R"({"entries":[{"address":"http://127.0.0.1:7"}],"lifetime_s":30,"tickets":["t1.a"]})", "application/json");
    });
    REQUIRE(isOk(listener.start("127.0.0.1", 0)));
    DirectoryClient directory({ addressOf(listener) }, clock);
    CHECK(directory.entries("key") == std::vector<std::string> { "127.0.0.1:7" });
    CHECK(directory.takeTicket("key") == "t1.a");
    CHECK(directory.takeTicket("key").empty());
    CHECK(requestCount == 1);
    clock.advance(std::chrono::seconds(31));
    // The listed entry does not respond, so the client falls back to the seed.
    CHECK(directory.takeTicket("key") == "t1.a");
    CHECK(requestCount == 2);
}

TEST_CASE("complete, mismatched, truncated and refused streams get different outcomes")
{
    std::string answer;
    int status = 200;
    HttpListener listener({});
    listener.server().Post("/v1/chat/completions", [&](const httplib::Request&, httplib::Response& response) {
        response.status = status;
        response.set_content(answer, status == 200 ? "text/event-stream" : "application/problem+json");
    });
    REQUIRE(isOk(listener.start("127.0.0.1", 0)));
    LoadMix::RequestClass chat;
    SECTION("complete")
    {
        answer = tokenEvent("r", 0) + tokenEvent("r", 1) + "data: [DONE]\n\n";
        CHECK(completionOf(listener, chat)["outcome"] == "ok");
    }
    SECTION("another request's text")
    {
        answer = tokenEvent("x", 0) + tokenEvent("x", 1) + "data: [DONE]\n\n";
        CHECK(completionOf(listener, chat)["outcome"] == "malformed");
    }
    SECTION("truncated")
    {
        answer = tokenEvent("r", 0);
        CHECK(completionOf(listener, chat)["outcome"] == "cut");
    }
    SECTION("refused")
    {
        status = 503;
        answer = R"({"kind":"overloaded","not_run":true})";
        const auto completion = completionOf(listener, chat);
        CHECK(completion["outcome"] == "refused");
        CHECK(completion["error_kind"] == "overloaded");
        CHECK(completion["not_run"] == true);
    }
}

TEST_CASE("a booking sends an idempotency key and records the key of the response")
{
    HttpListener listener({});
    listener.server().Post("/services/bookings/swaps", [](const httplib::Request& request, httplib::Response& response) {
        response.set_content(nlohmann::json { { "key", request.get_header_value("Idempotency-Key") }, { "number", 4 } }.dump(), "application/json");
    });
    REQUIRE(isOk(listener.start("127.0.0.1", 0)));
    LoadMix::RequestClass booking;
    booking.kind = LoadMix::Kind::Service;
    booking.service = "bookings";
    booking.method = "POST";
    booking.path = "/swaps";
    booking.isIdempotent = false;
    const auto completion = completionOf(listener, booking);
    CHECK(completion["outcome"] == "ok");
    CHECK(completion["key"] == "key-r");
    CHECK(completion["answer_key"] == "key-r");
}
