#include <borageslip_inner/borageslip_inner.h>

#include "FreezableRelay.h"

#include <catch2/catch.hpp>
#include <future>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr auto timeout = 5000ms;

struct Fixture {
    explicit Fixture(InnerServer::Handler handler, detail::Http2Limits limits = {})
        : server({ .acceptedKeys = { "new-key", "old-key" }, .limits = limits }, std::move(handler))
    {
        const auto port = server.start("127.0.0.1", 0);
        REQUIRE(isOk(port));
        address = "127.0.0.1:" + std::to_string(value(port));
    }

    InnerServer server;
    std::string address;
};

InnerServer::Handler echoHandler()
{
    return [](InnerRequest request, std::shared_ptr<InnerResponder> responder) {
        responder->start(200, { { "x-path", request.path } });
        // write() blocks while the response buffer is full, so it must not run on the server's I/O thread.
        std::thread([body = std::move(request.body), responder = std::move(responder)] {
            responder->write(body);
            responder->finish();
        }).detach();
    };
}

}

TEST_CASE("requests and responses arrive complete, also when larger than the flow-control windows")
{
    Fixture fixture(echoHandler());
    InnerClient client({ .key = "old-key" });
    for (const size_t size : { 0UL, 10UL, 3000000UL }) {
        std::string body(size, 'x');
        const auto stream = client.start(fixture.address, { "/inner/echo", {}, body });
        const auto head = stream->head(timeout);
        REQUIRE(isOk(head));
        CHECK(value(head).status == 200);
        CHECK(headerOr(value(head).headers, "x-path") == "/inner/echo");
        CHECK(value(readAll(*stream, 4000000, timeout)) == body);
    }
}

TEST_CASE("a request without an accepted key is answered with 401")
{
    Fixture fixture(echoHandler());
    InnerClient client({ .key = "other-key" });
    const auto stream = client.start(fixture.address, { "/inner/echo", {}, "x" });
    CHECK(value(stream->head(timeout)).status == 401);
}

TEST_CASE("a refused connection is reported as PeerUnreachable and as not run")
{
    InnerClient client({ .key = "old-key" });
    const auto stream = client.start("127.0.0.1:1", { "/inner/echo", {}, "x" });
    const auto head = stream->head(timeout);
    REQUIRE_FALSE(isOk(head));
    CHECK(error(head).kind == ErrorKind::PeerUnreachable);
    CHECK_FALSE(error(head).mayHaveRun());
}

TEST_CASE("a response that the server aborts is reported as an error and not as a complete body")
{
    Fixture fixture([](const InnerRequest&, const std::shared_ptr<InnerResponder>& responder) {
        responder->start(200, {});
        responder->write("part");
        responder->abort();
    });
    InnerClient client({ .key = "new-key" });
    const auto stream = client.start(fixture.address, { "/inner/chat", {}, "x" });
    const auto body = readAll(*stream, 1000, timeout);
    REQUIRE_FALSE(isOk(body));
    CHECK(error(body).mayHaveRun());
}

TEST_CASE("the server's writer is stopped when the client cancels the stream")
{
    std::promise<bool> cancelled;
    Fixture fixture([&](const InnerRequest&, const std::shared_ptr<InnerResponder>& responder) {
        responder->start(200, {});
        std::thread([&cancelled, responder] {
            const std::string chunk(1000, 'x');
            int written = 0;
            while (written < 100000 && responder->write(chunk))
                ++written;
            cancelled.set_value(responder->isCancelled());
        }).detach();
    });
    InnerClient client({ .key = "new-key" });
    {
        const auto stream = client.start(fixture.address, { "/inner/chat", {}, "x" });
        REQUIRE(isOk(stream->next(timeout)));
    }
    auto seen = cancelled.get_future();
    REQUIRE(seen.wait_for(timeout) == std::future_status::ready);
    CHECK(seen.get());
}

TEST_CASE("the server distinguishes a lost connection, after which the client may resume, from a cancelled stream")
{
    for (const bool isConnectionLost : { false, true }) {
        std::promise<bool> seen;
        const auto lost = seen.get_future().share();
        std::future<void> poller;
        Fixture fixture([&](const InnerRequest&, const std::shared_ptr<InnerResponder>& responder) {
            responder->start(200, {});
            responder->write("x");
            // A weak pointer, because the responder would otherwise own itself through its handler and never be destroyed.
            responder->onCancelled([&seen, weak = std::weak_ptr(responder)] {
                if (const auto alive = weak.lock())
                    seen.set_value(alive->isConnectionLost());
            });
            poller = std::async(std::launch::async, [responder, lost] {
                while (!responder->isCancelled())
                    std::this_thread::yield();
                // The stream is marked as closed before the handler is called, which needs the responder.
                lost.wait_for(timeout);
            });
        });
        auto client = std::make_unique<InnerClient>(InnerClient::Options { .key = "new-key" });
        FreezableRelay relay(fixture.address);
        auto stream = client->start(relay.address(), { "/inner/chat", {}, "x" });
        REQUIRE(isOk(stream->next(timeout)));
        if (isConnectionLost)
            relay.closeOpenConnections();
        else
            stream.reset();
        REQUIRE(lost.wait_for(timeout) == std::future_status::ready);
        CHECK(lost.get() == isConnectionLost);
    }
}

TEST_CASE("a responder that outlives its server is closed and may still be used and destroyed")
{
    std::shared_ptr<InnerResponder> kept;
    {
        std::promise<void> received;
        Fixture fixture([&](const InnerRequest&, std::shared_ptr<InnerResponder> responder) {
            kept = std::move(responder);
            received.set_value();
        });
        InnerClient client({ .key = "new-key" });
        const auto stream = client.start(fixture.address, { "/inner/chat", {}, "x" });
        REQUIRE(received.get_future().wait_for(timeout) == std::future_status::ready);
    }
    kept->start(200, {});
    CHECK_FALSE(kept->write("x"));
    CHECK(kept->isCancelled());
    kept.reset();
}

TEST_CASE("streams cancelled before they are read do not use up the connection's flow-control window")
{
    // 100 responses of 256 KB exceed the connection's flow-control window of 16 MB.
    Fixture fixture(echoHandler());
    InnerClient client({ .key = "new-key" });
    for (int i = 0; i < 100; ++i) {
        const auto stream = client.start(fixture.address, { "/inner/echo", {}, std::string(250000, 'x') });
        REQUIRE(isOk(stream->next(timeout)));
    }
    const auto last = client.start(fixture.address, { "/inner/echo", {}, "end" });
    CHECK(value(readAll(*last, 100, timeout)) == "end");
}

TEST_CASE("an open stream on a connection that goes silent fails with an error that says the request may have run")
{
    const detail::Http2Limits limits { .pingInterval = 100ms, .receiveTimeout = 300ms };
    std::vector<std::shared_ptr<InnerResponder>> open;
    Fixture fixture([&](const InnerRequest&, std::shared_ptr<InnerResponder> responder) {
        responder->start(200, {});
        open.push_back(std::move(responder));
    });
    FreezableRelay relay(fixture.address);
    InnerClient client({ .key = "new-key", .limits = limits });
    const auto stream = client.start(relay.address(), { "/inner/chat", {}, "x" });
    REQUIRE(isOk(stream->head(timeout)));
    relay.freezeOpenConnections();
    const auto end = stream->next(timeout);
    REQUIRE_FALSE(isOk(end));
    CHECK(error(end).kind == ErrorKind::ConnectionSilent);
    CHECK(error(end).mayHaveRun());
    fixture.server.stop();
}

TEST_CASE("a request never goes into an idle connection that went silent")
{
    std::atomic<int> received { 0 };
    Fixture fixture([&](const InnerRequest&, const std::shared_ptr<InnerResponder>& responder) {
        ++received;
        responder->respond(200, {}, "ok");
    });
    FreezableRelay relay(fixture.address);
    InnerClient client({ .key = "new-key", .validateAfterInactivity = 0ms, .validationTimeout = 200ms });
    REQUIRE(isOk(client.start(relay.address(), { "/inner/service", {}, "first" })->head(timeout)));
    relay.freezeOpenConnections();
    const auto stream = client.start(relay.address(), { "/inner/service", {}, "second" });
    CHECK(value(readAll(*stream, 100, timeout)) == "ok");
    CHECK(received == 2);
    CHECK(relay.acceptedConnections() == 2);
}
