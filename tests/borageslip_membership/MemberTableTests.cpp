#include "MembershipSimulator.h"

#include <catch2/catch.hpp>

using namespace borageslip;
using borageslip::testing::MembershipSimulator;
using namespace std::chrono_literals;

namespace {

Duration longestDetection(const MembershipSimulator& simulator, const MemberId& id, TimePoint since, std::map<MemberId, TimePoint> MembershipSimulator::Node::*field)
{
    Duration slowest {};
    for (const auto& node : simulator.nodes) {
        if (!node->isRunning || node->profile.id == id)
            continue;
        const auto& times = (*node).*field;
        const auto found = times.find(id);
        slowest = std::max(slowest, found == times.end() ? Duration(1h) : found->second - since);
    }
    return slowest;
}

struct Fleet {
    size_t size;
    size_t regions;
    uint64_t seeds;
};

void checkCrashDetection(const Fleet& fleet)
{
    for (uint64_t seed = 1; seed <= fleet.seeds; ++seed) {
        INFO("members " << fleet.size << " seed " << seed);
        MembershipSimulator simulator(seed);
        simulator.addNodes(fleet.size, fleet.regions);
        simulator.synchroniseAll();
        simulator.run(10s);
        REQUIRE(simulator.allList(fleet.size));
        REQUIRE(simulator.removals() == 0);
        auto& crashed = *simulator.nodes[seed % fleet.size];
        crashed.isRunning = false;
        const auto since = simulator.clock.now();
        simulator.run(11s);
        CHECK(longestDetection(simulator, crashed.profile.id, since, &MembershipSimulator::Node::suspected) <= 5s);
        CHECK(longestDetection(simulator, crashed.profile.id, since, &MembershipSimulator::Node::removed) <= 10s);
        CHECK(simulator.removals() == fleet.size - 1);
    }
}

}

TEST_CASE("a crashed member is suspected within 5 s and removed within 10 s")
{
    checkCrashDetection(GENERATE(Fleet { 10, 1, 20 }, Fleet { 30, 2, 10 }));
}

TEST_CASE("a crashed member of 330 is suspected within 5 s and removed within 10 s")
{
    checkCrashDetection({ 330, 4, 2 });
}

TEST_CASE("20% datagram loss, duplicates and reordering do not cause the removal of a live member")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        MembershipSimulator simulator(seed);
        simulator.lossRate = 0.2;
        simulator.duplicateRate = 0.05;
        simulator.maxDelay = 60ms;
        simulator.addNodes(30, 2);
        simulator.run(150s);
        CHECK(simulator.allList(30));
        CHECK(simulator.removals() == 0);
    }
}

TEST_CASE("a member that pauses for 3 s is not removed and does not remove others")
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        MembershipSimulator simulator(seed);
        simulator.lossRate = seed % 2 ? 0.2 : 0;
        simulator.addNodes(20, 2);
        simulator.run(20s);
        for (size_t round = 0; round < 4; ++round) {
            simulator.nodes[(seed + 5 * round) % 20]->pausedUntil = simulator.clock.now() + 3s;
            simulator.run(15s);
        }
        CHECK(simulator.allList(20));
        CHECK(simulator.removals() == 0);
    }
}

TEST_CASE("all members know of a planned leave within 2 s")
{
    const auto size = GENERATE(10, 330);
    for (uint64_t seed = 1; seed <= (size == 10 ? 20U : 1U); ++seed) {
        INFO("members " << size << " seed " << seed);
        MembershipSimulator simulator(seed);
        simulator.addNodes(static_cast<size_t>(size), 4);
        simulator.synchroniseAll();
        simulator.run(10s);
        simulator.lossRate = 0.2;
        auto& node = *simulator.nodes[seed % static_cast<size_t>(size)];
        const auto since = simulator.clock.now();
        simulator.send(node, node.table->leave(since));
        simulator.run(3s);
        CHECK(longestDetection(simulator, node.profile.id, since, &MembershipSimulator::Node::leaving) <= 2s);
        CHECK_FALSE(simulator.nodes[(seed + 1) % static_cast<size_t>(size)]->table->member(node.profile.id)->isPlaceable);
        CHECK(simulator.removals() == 0);
    }
}

TEST_CASE("a leaving member is removed after its process stops")
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        MembershipSimulator simulator(seed);
        simulator.addNodes(40, 2);
        simulator.synchroniseAll();
        simulator.run(5s);
        auto& node = *simulator.nodes[seed];
        simulator.send(node, node.table->leave(simulator.clock.now()));
        simulator.run(20s);
        CHECK(simulator.removals() == 0);
        node.isRunning = false;
        simulator.run(11s);
        CHECK(simulator.allList(39));
    }
}

TEST_CASE("a restarted member learns all members of a large fleet within 20 s, even with a lower incarnation")
{
    MembershipSimulator simulator(1);
    simulator.addNodes(330, 4);
    simulator.synchroniseAll();
    simulator.run(5s);
    auto& node = *simulator.nodes[100];
    simulator.start(node, 900);
    simulator.run(20s);
    CHECK(simulator.allList(330));
    CHECK(simulator.nodes[0]->table->member(node.profile.id)->startIncarnation == 900);
}

TEST_CASE("partitioned regions continue separately and converge after the partition heals")
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        MembershipSimulator simulator(seed);
        simulator.addNodes(20, 2);
        simulator.run(20s);
        simulator.isPartitioned = [](const auto& a, const auto& b) { return a.profile.region != b.profile.region; };
        simulator.run(90s);
        CHECK(simulator.allList(10));
        simulator.isPartitioned = [](auto&, auto&) { return false; };
        simulator.run(60s);
        CHECK(simulator.allList(20));
    }
}

TEST_CASE("a removed member can rejoin with the same id, also after repeated restarts")
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        INFO("seed " << seed);
        MembershipSimulator simulator(seed);
        simulator.addNodes(12, 2);
        simulator.run(20s);
        auto& node = *simulator.nodes[4];
        for (uint64_t restart = 1; restart <= 4; ++restart) {
            node.isRunning = false;
            simulator.run(restart == 1 ? 15s : 1s);
            simulator.start(node, 1000 + restart);
            simulator.run(restart == 1 ? 15s : 2s);
        }
        simulator.run(20s);
        CHECK(simulator.allList(12));
        CHECK(simulator.nodes[0]->table->member(node.profile.id)->startIncarnation == 1004);
    }
}

TEST_CASE("traffic per member stays below 2 KB/s in a fleet of 330 members")
{
    MembershipSimulator simulator(3);
    simulator.addNodes(330, 4);
    simulator.synchroniseAll();
    for (auto& node : simulator.nodes)
        node->table->gossip().publishLoads(std::array { ModelLoad { ModelId("a"), 3, 5 }, ModelLoad { ModelId("b"), 4, 5 }, ModelLoad { ModelId("c"), 5, 5 } });
    simulator.run(40s);
    REQUIRE(simulator.allList(330));
    uint64_t before = 0;
    uint64_t after = 0;
    for (const auto& node : simulator.nodes)
        before += node->bytesSent + node->bytesReceived;
    simulator.run(20s);
    for (const auto& node : simulator.nodes)
        after += node->bytesSent + node->bytesReceived;
    const auto perMember = static_cast<double>(after - before) / 20 / 330;
    INFO("sent and received, bytes/s: " << perMember);
    CHECK(perMember < 2000);
    CHECK(simulator.nodes[7]->table->meanLoad(ModelId("b"), {}).value_or(0) == Approx(0.8));
}

TEST_CASE("malformed, truncated and wrongly signed datagrams are counted and ignored")
{
    MembershipSimulator simulator(1);
    simulator.addNodes(3, 1);
    simulator.run(10s);
    auto& table = *simulator.nodes[0]->table;
    const auto from = simulator.nodes[1]->profile.gossipAddress;
    SwimMessage message;
    message.sender = simulator.nodes[1]->profile.id;
    message.updates.push_back({ simulator.nodes[2]->profile, true, {} });
    const auto valid = SwimCodec("key").encode(message);
    uint64_t expected = 0;
    const auto reject = [&](std::vector<uint8_t> bytes) {
        table.receive(bytes, from, simulator.clock.now());
        CHECK(table.malformedDatagrams() == ++expected);
    };
    for (size_t length = 0; length < valid.size(); ++length)
        reject({ valid.begin(), valid.begin() + static_cast<std::ptrdiff_t>(length) });
    reject(SwimCodec("other").encode(message));
    reject(std::vector<uint8_t>(1500));
    CHECK(table.size() == 3);
    CHECK(SwimCodec("new", "key").decode(valid));
}

TEST_CASE("an authentic datagram with an invalid field is rejected without an exception")
{
    const SwimCodec codec("key");
    SwimMessage message;
    message.sender = MemberId("a");
    message.buckets.emplace();
    message.configuration = ConfigurationRevision { 1, 2 };
    message.updates.push_back({ MembershipSimulator::makeProfile(1, 1), true, MemberId("b") });
    message.gossipEntries.push_back({ MemberId("a"), GossipSlot::Load, 1, { 1, 2, 3 } });
    REQUIRE(codec.decode(codec.encode(message)));
    message.updates[0].member.id = MemberId();
    CHECK_FALSE(codec.decode(codec.encode(message)));
    message.updates.clear();
    message.gossipEntries[0].payload.resize(GossipTable::maxPayload + 1);
    CHECK_FALSE(codec.decode(codec.encode(message)));
    message.gossipEntries[0] = { MemberId("a"), static_cast<GossipSlot>(99), 1, {} };
    CHECK_FALSE(codec.decode(codec.encode(message)));
}
