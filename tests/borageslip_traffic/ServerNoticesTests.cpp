#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr const char* serverId = "i-1";

class NoticesScene {
public:
    NoticesScene() { list(1000); }

    /** Lists the server. @param startedAtMs of its incarnation. */
    void list(int64_t startedAtMs)
    {
        ServerDescription description;
        description.id = serverId;
        description.service = "pool";
        description.address = { boost::asio::ip::address_v4::loopback(), 7000 };
        description.startedAtMs = startedAtMs;
        m_table.apply(std::move(description));
    }

    ServerTable& table() { return m_table; }
    BackendServerPtr listed() const { return m_table.all().at(serverId); }
    TimePoint now() const { return m_clock.now(); }

private:
    ManualClock m_clock;
    boost::asio::io_context m_context;
    ServerTable m_table { m_clock, m_context.get_executor() };
};

}

// Guards against requests to a leaving server whose notice came on a request from before the server was listed again.
TEST_CASE("a server that says it is leaving gets no requests, if it was listed again while it responded", "[notices]")
{
    NoticesScene scene;
    const auto server = scene.listed();
    scene.table().remove(serverId);
    SECTION("before the response")
    {
        scene.list(1000);
        server->setLeaving();
        scene.table().shareNotices(server);
    }
    SECTION("after the response")
    {
        server->setLeaving();
        scene.table().shareNotices(server);
        scene.list(1000);
    }
    CHECK_FALSE(scene.listed()->isInService());
    scene.table().remove(serverId);
    scene.list(1000);
    CHECK_FALSE(scene.listed()->isInService());
    scene.list(2000);
    CHECK(scene.listed()->isInService());
}

// Guards against a late notice of an earlier listing that replaces what a later one has said.
TEST_CASE("a server that says it is leaving gets no requests after a late notice of an earlier listing", "[notices]")
{
    NoticesScene scene;
    const auto earlier = scene.listed();
    scene.table().remove(serverId);
    SECTION("of the same incarnation") { scene.list(1000); }
    SECTION("of an earlier incarnation") { scene.list(2000); }
    const auto later = scene.listed();
    later->setLeaving();
    scene.table().remove(serverId);
    earlier->allowance().pauseUntil(scene.now() + 2s);
    scene.table().shareNotices(earlier);
    scene.list(later->description().startedAtMs);
    CHECK_FALSE(scene.listed()->isInService());
}

TEST_CASE("a pause and a rate limit hold, if the server was listed again while it responded", "[notices]")
{
    NoticesScene scene;
    const auto server = scene.listed();
    scene.table().remove(serverId);
    scene.list(1000);
    server->allowance().pauseUntil(scene.now() + 2s);
    server->allowance().recordRateLimit({ 6, scene.now() });
    scene.table().shareNotices(server);
    CHECK_FALSE(scene.listed()->acceptsRequests());
    CHECK(scene.listed()->allowance().rateLimit(scene.now()) == 6);
}
