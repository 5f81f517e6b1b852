#include <borageslip_core/borageslip_core.h>
#include <borageslip_request/borageslip_request.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <deque>
#include <future>
#include <mutex>
#include <rapidcheck.h>

using namespace borageslip;

namespace {

constexpr int tokenCount = 6;

// rapidcheck reads its seed from the environment. A fixed seed makes runs reproducible.
const int s_hasFixedSeed = ::setenv("RC_PARAMS", "seed=20", 0);

std::string chunkText(const std::string& id, uint64_t offset)
{
    nlohmann::json body { { "id", id }, { "model", "m" }, { "offset", offset } };
    nlohmann::json choice { { "index", 0 }, { "delta", nlohmann::json::object() }, { "finish_reason", nullptr } };
    if (offset < tokenCount)
        choice["delta"]["content"] = "t" + std::to_string(offset) + " ";
    else {
        choice["finish_reason"] = "stop";
        body["usage"] = { { "prompt_tokens", 1 }, { "completion_tokens", tokenCount } };
    }
    body["choices"] = { choice };
    return "data: " + body.dump() + "\n\n";
}

/** Behaviour of the fake engine on one connection, given the requested resume offset. */
using Script = std::function<void(uint64_t offset, httplib::DataSink&)>;

/** Fake engine that runs one script per connection and records the resume offsets and cancellations it receives. */
class FakeEngine {
public:
    explicit FakeEngine(std::deque<Script> scripts)
        : m_scripts(std::move(scripts))
    {
        m_listener.server().Post("/v1/chat/completions", [this](const httplib::Request& request, httplib::Response& response) { serve(request, response); });
        m_listener.server().Delete("/v1/requests/(.*)", [this](const httplib::Request& request, httplib::Response& response) {
            const std::lock_guard lock(m_mutex);
            m_cancelled.push_back(request.matches[1]);
            m_wake.notify_all();
            response.status = 204;
        });
        REQUIRE(isOk(m_listener.start("127.0.0.1", 0)));
    }

    ~FakeEngine()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isEnding = true;
            m_wake.notify_all();
        }
        m_listener.stop();
    }
    FakeEngine(const FakeEngine&) = delete;
    FakeEngine& operator=(const FakeEngine&) = delete;

    EngineRequest request() const { return { .host = "127.0.0.1", .port = m_listener.port(), .id = RequestId("r1"), .body = { { "model", "m" } } }; }
    std::vector<std::string> cancelled() const { return m_cancelled; }
    std::vector<std::string> offsets() const { return m_offsets; }
    HttpListener& listener() { return m_listener; }

    /** Keeps the connection open without sending data until the run is cancelled or the test ends. */
    void staySilent()
    {
        std::unique_lock lock(m_mutex);
        m_wake.wait(lock, [this] { return m_isEnding || !m_cancelled.empty(); });
    }

private:
    void serve(const httplib::Request& request, httplib::Response& response)
    {
        const std::lock_guard lock(m_mutex);
        m_offsets.push_back(request.get_header_value("X-Resume-Offset"));
        if (m_scripts.empty()) {
            response.status = 503;
            response.set_header("X-Not-Run", "true");
            return;
        }
        auto script = m_scripts.front();
        m_scripts.pop_front();
        const uint64_t offset = m_offsets.back().empty() ? 0 : std::stoull(m_offsets.back());
        response.set_header("X-Engine-Running", "7");
        response.set_chunked_content_provider("text/event-stream", [script, offset](size_t, httplib::DataSink& sink) {
            script(offset, sink);
            return false;
        });
    }

    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isEnding = false;
    std::deque<Script> m_scripts;
    std::vector<std::string> m_cancelled;
    std::vector<std::string> m_offsets;
    HttpListener m_listener { { .pool = { .maxThreads = 16 } } };
};

void send(httplib::DataSink& sink, const std::string& text) { sink.write(text.data(), text.size()); }

void sendFrom(uint64_t offset, httplib::DataSink& sink, uint64_t end = tokenCount + 1)
{
    for (; offset < end; ++offset)
        send(sink, chunkText("r1", offset));
    if (offset > tokenCount)
        send(sink, "data: [DONE]\n\n");
}

/** Assembles the received chunks; can stop after a number of chunks. */
class Receiver final : public EngineStreamListener {
public:
    StreamFlow headersReceived(std::optional<int> runningCount) override
    {
        running = runningCount;
        return StreamFlow::Continue;
    }
    StreamFlow chunkReceived(const StreamChunk& chunk) override
    {
        CHECK(isOk(assembler.add(chunk)));
        if (onChunk)
            onChunk();
        return --chunksWanted == 0 ? StreamFlow::Stop : StreamFlow::Continue;
    }

    bool shouldContinueAfterStop() const override { return continuesAfterStop; }

    bool continuesAfterStop = false;
    std::optional<int> running;
    AnswerAssembler assembler { "r1" };
    int chunksWanted = -1;
    std::function<void()> onChunk;
};

void checkComplete(const Receiver& receiver)
{
    const auto answer = receiver.assembler.finish();
    REQUIRE(isOk(answer));
    CHECK(value(answer)["choices"][0]["message"]["content"] == "t0 t1 t2 t3 t4 t5 ");
}

const SystemClock s_clock;

AttemptResult run(const EngineRequest& request, Receiver& receiver)
{
    return EngineClient(s_clock, { .livenessTimeout = std::chrono::milliseconds(100), .maxResumes = 2 }).run(request, receiver);
}

}

TEST_CASE("an event split at any byte and with any line ending is parsed like an unsplit one")
{
    const std::string stream = "data: a\r\n\r\n: comment\n\ndata:b\ndata: c\n\nevent: x\rdata: d\r\rdata: [DONE]\n\n";
    rc::check([&] {
        SseParser parser(64);
        std::vector<std::string> events;
        for (size_t at = 0; at < stream.size();) {
            const auto length = *rc::gen::inRange<size_t>(1, 8);
            RC_ASSERT(isOk(parser.feed(std::string_view(stream).substr(at, length), [&](std::string_view data) {
                events.emplace_back(data);
                return StreamFlow::Continue;
            })));
            at += length;
        }
        RC_ASSERT(events == (std::vector<std::string> { "a", "b\nc", "d", "[DONE]" }));
    });
}

TEST_CASE("a line or an event above the size limit is rejected instead of buffered without bound")
{
    const auto ignore = [](std::string_view) { return StreamFlow::Continue; };
    SseParser parser(64);
    CHECK_FALSE(isOk(parser.feed(std::string(65, 'x'), ignore)));
    SseParser second(64);
    Status last = ok();
    for (int i = 0; i < 10 && isOk(last); ++i)
        last = second.feed("data: 0123456789\n", ignore);
    CHECK_FALSE(isOk(last));
}

TEST_CASE("an uninterrupted stream completes and reports the engine's running count")
{
    FakeEngine engine({ [](auto offset, auto& sink) { sendFrom(offset, sink); } });
    Receiver receiver;
    const auto end = run(engine.request(), receiver);
    CHECK(end.isComplete());
    CHECK(end.deliveredTokens == tokenCount);
    CHECK(end.timeToFirstToken);
    CHECK(end.interTokenTimes.size() == tokenCount - 1);
    CHECK(receiver.running == 7);
    CHECK(engine.cancelled().empty());
    checkComplete(receiver);
}

TEST_CASE("a stall or a disconnect after any number of tokens neither loses nor repeats tokens")
{
    for (uint64_t sent = 0; sent <= tokenCount; ++sent) {
        FakeEngine* self = nullptr;
        const bool isSilent = sent % 2 == 0;
        FakeEngine engine({ [&](auto offset, auto& sink) {
                               sendFrom(offset, sink, sent);
                               if (isSilent)
                                   self->staySilent();
                           },
            [](auto offset, auto& sink) { sendFrom(offset, sink); } });
        self = &engine;
        Receiver receiver;
        const auto end = run(engine.request(), receiver);
        CHECK(end.isComplete());
        CHECK(end.resumes == 1);
        CHECK(engine.offsets() == std::vector<std::string> { "", std::to_string(sent) });
        checkComplete(receiver);
    }
}

TEST_CASE("tokens repeated by an engine that ignores the resume offset are dropped")
{
    FakeEngine engine({ [](auto offset, auto& sink) { sendFrom(offset, sink, 3); }, [](auto, auto& sink) { sendFrom(0, sink); } });
    Receiver receiver;
    const auto end = run(engine.request(), receiver);
    CHECK(end.isComplete());
    CHECK(end.droppedChunks == 3);
    checkComplete(receiver);
}

TEST_CASE("tokens skipped by the engine are fetched by resuming the stream")
{
    FakeEngine engine({ [](auto, auto& sink) {
                           sendFrom(0, sink, 2);
                           sendFrom(4, sink);
                       },
        [](auto offset, auto& sink) { sendFrom(offset, sink); } });
    Receiver receiver;
    const auto end = run(engine.request(), receiver);
    CHECK(end.isComplete());
    CHECK(end.resumes == 1);
    checkComplete(receiver);
}

TEST_CASE("chunks of another request do not reach the caller")
{
    FakeEngine engine({ [](auto, auto& sink) {
        sendFrom(0, sink, 2);
        send(sink, chunkText("r2", 2));
        sendFrom(2, sink);
    } });
    Receiver receiver;
    const auto end = run(engine.request(), receiver);
    CHECK(end.isComplete());
    CHECK(end.droppedChunks == 1);
    checkComplete(receiver);
}

TEST_CASE("a response with fewer tokens than its usage reports is rejected as incomplete")
{
    FakeEngine engine({ [](auto, auto& sink) {
        auto last = nlohmann::json::parse(chunkText("r1", tokenCount).substr(6));
        last["offset"] = 0;
        send(sink, "data: " + last.dump() + "\n\ndata: [DONE]\n\n");
    } });
    Receiver receiver;
    const auto end = run(engine.request(), receiver);
    REQUIRE(end.error);
    CHECK(end.error->kind == ErrorKind::InvalidMessage);
}

TEST_CASE("stopping the receiver cancels the run at the engine")
{
    FakeEngine* self = nullptr;
    FakeEngine engine({ [&](auto, auto& sink) {
        sendFrom(0, sink, 3);
        self->staySilent();
    } });
    self = &engine;
    Receiver receiver;
    receiver.chunksWanted = 2;
    const auto end = run(engine.request(), receiver);
    CHECK(end.error->kind == ErrorKind::Cancelled);
    CHECK(end.deliveredTokens == 2);
    CHECK(engine.cancelled() == std::vector<std::string> { "r1" });
}

TEST_CASE("a run that another receiver may resume is not cancelled when this receiver stops")
{
    FakeEngine engine({ [](auto offset, auto& sink) { sendFrom(offset, sink); } });
    Receiver receiver;
    receiver.chunksWanted = 2;
    receiver.continuesAfterStop = true;
    CHECK(run(engine.request(), receiver).error->kind == ErrorKind::Cancelled);
    CHECK(engine.cancelled().empty());
}

TEST_CASE("cancelling the request cancels a silent run without waiting for the liveness timeout")
{
    FakeEngine* self = nullptr;
    FakeEngine engine({ [&](auto, auto& sink) {
        sendFrom(0, sink, 1);
        self->staySilent();
    } });
    self = &engine;
    std::stop_source source;
    std::promise<void> firstChunk;
    Receiver receiver;
    receiver.onChunk = [&] { firstChunk.set_value(); };
    auto request = engine.request();
    request.cancellation = source.get_token();
    // The liveness timeout exceeds the test's time limit, so only the cancellation can end the run.
    const EngineClient client(s_clock, { .livenessTimeout = std::chrono::minutes(10) });
    auto end = std::async(std::launch::async, [&] { return client.run(request, receiver); });
    firstChunk.get_future().wait();
    source.request_stop();
    CHECK(end.get().error->kind == ErrorKind::Cancelled);
    CHECK(engine.cancelled() == std::vector<std::string> { "r1" });
}

TEST_CASE("a run is certainly not run only if the engine refused it at once or was unreachable")
{
    Receiver receiver;
    SECTION("the engine refuses at once")
    {
        FakeEngine engine({});
        const auto end = run(engine.request(), receiver);
        CHECK(end.error->kind == ErrorKind::EngineRefused);
        CHECK(end.isCertainlyNotRun);
        CHECK(engine.cancelled().empty());
    }
    SECTION("the engine refuses the resume")
    {
        FakeEngine engine({ [](auto, auto&) {} });
        const auto end = run(engine.request(), receiver);
        CHECK(end.error->kind == ErrorKind::EngineFailed);
        CHECK_FALSE(end.isCertainlyNotRun);
    }
    SECTION("nothing listens")
    {
        FakeEngine engine({});
        const auto request = engine.request();
        engine.listener().stop();
        const auto end = run(request, receiver);
        CHECK(end.error->kind == ErrorKind::EngineUnreachable);
        CHECK(end.isCertainlyNotRun);
    }
}

TEST_CASE("a run on a silent engine fails as possibly run after a bounded number of resumes")
{
    FakeEngine* self = nullptr;
    const auto silent = [&](auto, auto&) { self->staySilent(); };
    FakeEngine engine({ silent, silent, silent, silent });
    self = &engine;
    Receiver receiver;
    const auto end = run(engine.request(), receiver);
    CHECK(end.error->kind == ErrorKind::ConnectionSilent);
    CHECK_FALSE(end.isCertainlyNotRun);
    CHECK(end.resumes == 2);
    CHECK(engine.offsets().size() == 3);
    CHECK(engine.cancelled().size() == 1);
}
