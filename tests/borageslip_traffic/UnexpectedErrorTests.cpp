#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <thread>

using namespace borageslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/** Fails on requests with a certain field, like a parser with a defect. */
class FailingProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields& fields) const override
    {
        if (fields.count("Fails") > 0)
            throw std::runtime_error("a defect");
        return {};
    }
    void prepareForwarding(HttpFields&, const ForwardingMetadata&) const override { }
    ResponseMetadata responseMetadata(unsigned, const HttpFields&) const override { return {}; }
};

/** Sends a request and returns all bytes until the other side closes the connection. */
std::string askUntilClosed(const tcp::endpoint& endpoint, const std::string& field)
{
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(endpoint);
    asio::write(socket, asio::buffer("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + field + "\r\n"));
    std::string received;
    boost::system::error_code failure;
    asio::read(socket, asio::dynamic_buffer(received), failure);
    return received;
}

}

TEST_CASE("an unexpected exception ends only the connection of its request", "[errors]")
{
    const SystemClock clock;
    const FailingProtocol protocol;
    asio::io_context context;
    TrafficEngine engine(clock, context.get_executor(), protocol, {});
    CallerListener listener(engine, 100);
    const auto endpoint = tcp::acceptor(context, { asio::ip::address_v4::loopback(), 0 }).local_endpoint();
    REQUIRE(isOk(listener.listen(endpoint)));
    std::vector<std::string> answers;
    std::thread caller([&] {
        for (const auto* field : { "Fails: 1\r\n", "", "Fails: 1\r\n", "" })
            answers.push_back(askUntilClosed(endpoint, field));
        context.stop();
    });
    context.run_for(20s);
    context.stop();
    listener.close();
    if (answers.size() < 4) {
        // The blocked caller ends when its connection is closed with the process.
        caller.detach();
        FAIL("a caller whose request failed unexpectedly waits for an answer: " << answers.size());
    }
    caller.join();
    CHECK(answers[0].empty());
    CHECK(answers[1].starts_with("HTTP/1.1 503"));
    CHECK(answers[2].empty());
    CHECK(answers[3].starts_with("HTTP/1.1 503"));
    CHECK(listener.isIdle());
}

TEST_CASE("a task of the whole process begins anew after an unexpected exception", "[errors]")
{
    asio::io_context context;
    int starts = 0;
    spawnTask(context.get_executor(), "test", [&]() -> asio::awaitable<void> {
        if (++starts < 3)
            throw std::runtime_error("a defect");
        co_return;
    });
    context.run_for(20s);
    CHECK(starts == 3);
}

// Guards against a single malformed datagram that ends a process.
TEST_CASE("mutated messages between instances are decoded or rejected without an exception", "[errors]")
{
    const PromptFingerprint prompt { "m", { 1, 2, 3 } };
    PeerReport report { "instance", 1, 2, true, { { 7, 1, 2 } }, { { 7, 1, 2 } } };
    report.quarantined = { { prompt, 1500ms } };
    const std::vector<std::vector<uint8_t>> messages {
        encodePeerReport(report),
        encodeReservationMessage({ "instance", 1, 2, { 7, 1, 2 }, true, { 1, 2 }, { 3, 4 }, 5, { 1, 2 }, 10ms }),
        encodeReservationReply({ 1, true, false, { 7, 1, 2 }, true }),
        encodeServiceState({ "instance", 1, 2, "service", true, { { 1, { 1, 2 }, 3, 10ms, 20ms, { 4 } } }, { { 1, 2 } }, { 3 } }),
        encodeServiceDecisions({ "instance", "service", 1, "other", { { 1, true, 2, 10ms } } }),
        encodeCoordinatorNotice({ "instance", "service", "other" }),
        encodeServerCrashNotice({ "instance", { 7, { prompt } } }),
        encodeClearedPartsNotice({ "instance", prompt }),
    };
    std::mt19937 random(1);
    const auto number = [&](size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(random); };
    int decoded = 0;
    for (int i = 0; i < 40'000; ++i) {
        auto bytes = messages[number(messages.size())];
        for (size_t change = 0; change <= number(3); ++change)
            bytes[number(bytes.size())] = static_cast<uint8_t>(number(256));
        if (number(4) == 0)
            bytes.resize(number(bytes.size()) + 1);
        CHECK_NOTHROW(decoded += isOk(decodePeerMessage(bytes)) ? 1 : 0);
    }
    CHECK(decoded > 0);
}
