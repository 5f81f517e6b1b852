#include "../../platform/StoreClient.h"
#include "ScriptedStore.h"

#include <borageslip_traffic/net/SpawnTask.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace borageslip;
using namespace borageslip::platform;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr size_t maxFloodBytes = 64 * 1024 * 1024;
constexpr size_t socketBufferBytes = 16 * 1024 * 1024; ///< More than the kernel holds for one connection.

/** Accepts one connection and writes a response without end. Returns the number of bytes that were taken. */
asio::awaitable<void> flood(tcp::acceptor& acceptor, std::string begin, size_t& taken)
{
    boost::system::error_code failure;
    auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, failure));
    std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + begin;
    while (!failure && taken < maxFloodBytes) {
        taken += co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
        bytes.assign(64 * 1024, 'x');
    }
}

}

// Guards against a store or another instance that takes the process over its memory limit by a line without end.
TEST_CASE("a call of the store fails when its response has a line without end")
{
    for (const auto& begin : std::vector<std::string> { "5;", "0\r\nX-Long: " }) {
        asio::io_context context;
        tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
        StoreCallCounts counts;
        StoreClient client(context.get_executor(), acceptor.local_endpoint(), counts);
        size_t taken = 0;
        bool hasFailed = false;
        spawnTask(context.get_executor(), "flood", [&] { return flood(acceptor, begin, taken); });
        spawnTask(context.get_executor(), "call", [&]() -> asio::awaitable<void> {
            const auto page = co_await client.range("servers/", "");
            hasFailed = !isOk(page);
        });
        context.run_for(20s);
        INFO("begin " << begin << " taken " << taken);
        CHECK(hasFailed);
        CHECK(taken < socketBufferBytes);
    }
}

// Guards against a name that another writer has chosen and that ends the request line or its parameter (RECOVER).
TEST_CASE("names reach the store as they are, in a valid request line")
{
    std::string allBytes;
    for (int byte = 0; byte < 256; ++byte)
        allBytes += static_cast<char>(byte);
    asio::io_context context;
    std::vector<std::string> targets;
    ScriptedStore store(context, [&](const std::string& target) {
        targets.push_back(target);
        return StatusResponse { 200, "application/json", R"({"items":[],"events":[],"as_of":1})" };
    });
    StoreCallCounts counts;
    StoreClient client(context.get_executor(), store.endpoint(), counts);
    const auto encoded = percentEncode(allBytes);
    const std::vector<std::string> expected {
        "/borageslip/kv-range?path_prefix=" + encoded + "&after=" + encoded,
        "/borageslip/kv-range?path_prefix=" + encoded + "&large=1",
        "/borageslip/kv-watch?path_prefix=" + encoded + "&after=7&wait_ms=1&era=2",
        "/borageslip/kv-range?path_prefix=op/",
    };
    spawnTask(context.get_executor(), "call", [&]() -> asio::awaitable<void> {
        co_await client.range(allBytes, allBytes);
        co_await client.readKey(allBytes, StoreClient::LargeValues::Included);
        const StorePosition after { 2, 7 };
        co_await client.watch(allBytes, after, 1ms);
        // Instances of earlier releases do not decode what they are asked.
        co_await client.range("op/", {});
    });
    runUntil(context, 2000ms, [&] { return targets.size() == expected.size(); });
    CHECK(targets == expected);
}

namespace {

nlohmann::json pageOf(const std::vector<std::string>& keys, bool hasMore)
{
    auto items = nlohmann::json::array();
    for (const auto& key : keys)
        items.push_back({ { "key", key }, { "value", "" }, { "revision", 5 } });
    return { { "items", std::move(items) }, { "as_of", 9 }, { "more_pages", hasMore } };
}

/** Reads all keys from a store that answers range calls with pages in turn, the last one again and again. */
struct PagedRead {
    explicit PagedRead(const std::vector<nlohmann::json>& pages)
        : PagedRead(textsOf(pages))
    {
    }

    explicit PagedRead(std::vector<std::string> pages)
    {
        size_t next = 0;
        asio::io_context context;
        ScriptedStore store(context, [&](const std::string&) {
            const auto& page = pages.at(std::min(next, pages.size() - 1));
            ++next;
            return StatusResponse { 200, "application/json", page };
        });
        StoreCallCounts counts;
        StoreClient client(context.get_executor(), store.endpoint(), counts);
        spawnTask(context.get_executor(), "read", [&]() -> asio::awaitable<void> {
            const std::function<void(const StoreItem&)> handleItem = [this](const StoreItem& item) { keys.push_back(item.key); };
            result = co_await client.readAll("", handleItem);
        });
        hasEnded = runUntil(context, 1000ms, [&] { return result.has_value(); });
        calls = store.count("kv-range");
    }

    static std::vector<std::string> textsOf(const std::vector<nlohmann::json>& pages)
    {
        std::vector<std::string> texts(pages.size());
        std::ranges::transform(pages, texts.begin(), [](const nlohmann::json& page) { return page.dump(); });
        return texts;
    }

    std::vector<std::string> keys;
    std::optional<Result<StorePage>> result;
    bool hasEnded = false;
    size_t calls = 0;
};

}

// Guards against a store or another instance that is read without a pause for ever, because a page begins where an earlier one
// did.
TEST_CASE("a read of all keys ends with an error when its pages do not go on")
{
    const auto first = pageOf({ "a", "b" }, true);
    const auto second = pageOf({ "c" }, true);
    const auto empty = pageOf({}, true);
    const std::vector<std::vector<nlohmann::json>> cases { { first }, { first, second, first, second, first }, { first, second, second }, { empty }, { first, empty } };
    for (const auto& pages : cases) {
        const PagedRead read(pages);
        INFO("the case has " << pages.size() << " pages; calls " << read.calls);
        REQUIRE(read.hasEnded);
        REQUIRE_FALSE(isOk(*read.result));
        CHECK(error(*read.result).kind == ErrorKind::StoreUnavailable);
        CHECK(read.calls <= pages.size() + 1);
    }
}

// Guards against one unreadable entry of another writer that costs all others.
TEST_CASE("an entry that cannot be read costs only itself")
{
    const std::vector<std::string> keys { "op/config", "servers/a", "servers/b", "servers/c", "other/d", "servers/e" };
    auto page = pageOf(keys, false);
    page["items"][1]["value"] = "%";
    page["items"][2].erase("value");
    page["items"][3]["revision"] = "5";
    page["items"][4]["deleted"] = "no";
    const PagedRead read(std::vector<nlohmann::json> { page });
    REQUIRE(read.hasEnded);
    REQUIRE(isOk(*read.result));
    CHECK(read.keys == keys);
}

TEST_CASE("an entry whose name is not valid UTF-8 costs only itself")
{
    for (const auto* bytes : { "\xff", "\xe4", "\xc3", "\xed\xa0\x80" }) {
        auto first = pageOf({ "servers/a", "servers/b?" }, true).dump();
        first.replace(first.find('?'), 1, bytes);
        const PagedRead read(std::vector<std::string> { first, pageOf({ "servers/c" }, false).dump() });
        REQUIRE(read.hasEnded);
        REQUIRE(isOk(*read.result));
        REQUIRE(read.keys.size() == 3);
        CHECK(read.keys[0] == "servers/a");
        CHECK(read.keys[1].starts_with("servers/b\xef\xbf\xbd"));
        CHECK(read.keys[2] == "servers/c");
    }
    const PagedRead malformed(std::vector<std::string> { "{\xff" });
    REQUIRE(malformed.hasEnded);
    CHECK_FALSE(isOk(*malformed.result));
}

// Guards against a revoked key that is accepted because what an operator has written cannot be read (CONFIG), and against a list
// of another type that is taken for an empty one.
TEST_CASE("a response whose list or whose operators' keys cannot be read is malformed as a whole")
{
    auto unreadableKey = pageOf({ "op/config", "servers/a" }, false);
    unreadableKey["items"][0]["value"] = "%";
    std::vector<nlohmann::json> pages { unreadableKey };
    for (const auto& list : { nlohmann::json(), nlohmann::json::object(), nlohmann::json("a"), nlohmann::json(0) }) {
        pages.push_back(pageOf({}, false));
        pages.back()["items"] = list;
    }
    for (const auto& page : pages) {
        const PagedRead read(std::vector<nlohmann::json> { page });
        INFO(page.dump());
        REQUIRE(read.hasEnded);
        CHECK_FALSE(isOk(*read.result));
    }
}

TEST_CASE("a read of all keys has all pages")
{
    const PagedRead read(std::vector<nlohmann::json> { pageOf({ "a", "b" }, true), pageOf({ "c" }, true), pageOf({ "d", "e" }, false) });
    REQUIRE(read.hasEnded);
    CHECK(isOk(*read.result));
    CHECK(read.keys == std::vector<std::string> { "a", "b", "c", "d", "e" });
    const PagedRead none(std::vector<nlohmann::json> { pageOf({}, false) });
    REQUIRE(none.hasEnded);
    CHECK(isOk(*none.result));
}
