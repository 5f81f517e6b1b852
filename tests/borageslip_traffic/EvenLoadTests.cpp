#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

class SpeedScene {
public:
    explicit SpeedScene(int servers)
    {
        m_clock.advance(100s);
        for (int i = 0; i < servers; ++i) {
            ServerDescription description;
            description.id = "i-" + std::to_string(i);
            description.service = "pool";
            description.address = { boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(7000 + i) };
            m_table.apply(std::move(description));
        }
    }

    ServerTable& table() { return m_table; }
    BackendServer& server(int i) { return *m_table.all().at("i-" + std::to_string(i)); }
    TimePoint now() const { return m_clock.now(); }
    void pass(Duration time) { m_clock.advance(time); }

private:
    ManualClock m_clock;
    boost::asio::io_context m_context;
    ServerTable m_table { m_clock, m_context.get_executor() };
};

}

// Guards against reports that an older or newer release cannot read, and against malformed figures that are applied.
TEST_CASE("the speeds of servers survive a report, and reports without them are read", "[even]")
{
    PeerReport report { "entry-1", 5, 6, true, { { 77, 1, 2 } }, {}, {}, {}, 12, { { 77, 130, 250ms }, { 78, 100, 0ms } } };
    const auto bytes = encodePeerReport(report);
    CHECK(value(decodePeerReport(bytes)) == report);

    auto document = nlohmann::json::from_cbor(bytes);
    const auto decoded = [](const nlohmann::json& changed) { return decodePeerReport(nlohmann::json::to_cbor(changed)); };
    auto malformed = document;
    malformed[10][0][1] = -130;
    CHECK_FALSE(isOk(decoded(malformed)));
    malformed[10][0][1] = uint64_t { 1 } << 40;
    CHECK_FALSE(isOk(decoded(malformed)));
    auto later = document;
    later.push_back(nlohmann::json::array());
    later.push_back("of a later release");
    report.memory.emplace();
    CHECK(value(decoded(later)) == report);
    report.memory.reset();
    document.erase(10);
    report.slowness.clear();
    CHECK(value(decoded(document)) == report);
}

// Guards against a deployment whose servers state no speeds being served in another way than before.
TEST_CASE("a service whose servers state no speed has equal shares, and speeds are forgotten", "[even]")
{
    SpeedScene scene(4);
    CHECK_FALSE(scene.table().statesSlowness("pool"));
    CHECK(scene.table().capacityShare(scene.server(1)) == 1);
    CHECK(scene.table().slownessSince(scene.now() - 1s).empty());
    CHECK_FALSE(scene.table().recordSlowness(scene.server(1), 0));
    CHECK_FALSE(scene.table().statesSlowness("pool"));

    CHECK(scene.table().recordSlowness(scene.server(1), 200));
    CHECK(scene.table().statesSlowness("pool"));
    CHECK_FALSE(scene.table().statesSlowness("other"));
    CHECK(scene.table().capacityShare(scene.server(1)) == Approx(0.5 / (3.5 / 4)));
    CHECK(scene.table().capacityShare(scene.server(0)) == Approx(1 / (3.5 / 4)));
    scene.pass(11s);
    CHECK_FALSE(scene.table().statesSlowness("pool"));
    CHECK(scene.table().capacityShare(scene.server(1)) == 1);
}

// Guards against instances that know the speed only of the servers that have answered their own requests, and against
// figures that are passed on again and again between instances.
TEST_CASE("instances share what responses to them have stated, and only that", "[even]")
{
    SpeedScene first(3);
    SpeedScene second(3);
    first.table().recordSlowness(first.server(2), 250);
    first.pass(300ms);
    const auto rows = first.table().slownessSince(first.now() - 900ms);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0] == SlownessRow { first.server(2).hash(), 250, 300ms });
    second.table().recordPeerSlowness(rows);
    CHECK(second.server(2).slowness().factor(second.now()) == 2.5);
    CHECK(second.table().slownessSince(second.now() - 10s).empty());
    first.pass(700ms);
    CHECK(first.table().slownessSince(first.now() - 900ms).empty());
    const SlownessRow unknown { 12345, 250, 0ms };
    second.table().recordPeerSlowness({ &unknown, 1 });
}
