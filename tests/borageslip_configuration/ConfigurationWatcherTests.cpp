#include "Fixtures.h"

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

struct FakePeers : ConfigurationWatcher::Peers {
    Result<ConfigurationWatcher::FetchedDocument> fetchFromPeer(const MemberId&, const AppliedConfiguration*) override
    {
        ++fetches;
        if (copy.revision == 0)
            return Error { ErrorKind::PeerUnreachable, "the peer is unreachable" };
        return copy;
    }

    ConfigurationWatcher::FetchedDocument copy;
    int fetches = 0;
};

struct AppliedLog : ConfigurationHolder::Listener {
    void configurationApplied(const AppliedConfiguration& applied) override { revisions.push_back(applied.revision); }

    std::vector<uint64_t> revisions;
};

struct Fixture {
    Fixture()
    {
        holder.addListener(log);
    }

    void write(int changes)
    {
        for (int i = 0; i < changes; ++i) {
            auto document = sampleDocument();
            document["plan"] = std::to_string(++version);
            revision = value(store.compareAndSwap(configurationKey, document.dump(), revision));
        }
    }

    ManualClock clock;
    MemoryStore store { clock };
    FakePeers peers;
    ConfigurationHolder holder;
    AppliedLog log;
    ConfigurationWatcher watcher { { .self = MemberId("m1"), .region = Region("r") }, clock, store, peers, holder };
    uint64_t revision = 0;
    int version = 0;
};

}

TEST_CASE("a document with a lower revision never replaces one with a higher revision")
{
    Fixture fixture;
    CHECK(value(fixture.holder.apply(5, sampleDocument().dump())) == ApplyOutcome::Applied);
    CHECK(value(fixture.holder.apply(4, sampleDocument().dump())) == ApplyOutcome::Outdated);
    CHECK(value(fixture.holder.apply(5, sampleDocument().dump(4))) == ApplyOutcome::AlreadyApplied);
    CHECK_FALSE(isOk(fixture.holder.apply(6, "{}")));
    CHECK(fixture.holder.revision() == 5);
    CHECK(invariantViolations() == 0);
}

TEST_CASE("after a burst of 50 changes only the newest document is applied")
{
    Fixture fixture;
    fixture.write(1);
    fixture.watcher.watchStep();
    fixture.write(50);
    fixture.watcher.watchStep();
    CHECK(fixture.log.revisions == std::vector<uint64_t> { 1, fixture.revision });
}

TEST_CASE("during an outage of the store the last document stays active and the retry interval grows")
{
    Fixture fixture;
    fixture.write(1);
    fixture.watcher.watchStep();
    fixture.store.setOutage(true);
    std::chrono::milliseconds total { 0 };
    for (int i = 0; i < 10; ++i)
        total += fixture.watcher.watchStep();
    CHECK(total > 10s);
    CHECK(fixture.holder.revision() == 1);
    fixture.store.setOutage(false);
    fixture.write(1);
    fixture.watcher.watchStep();
    CHECK(fixture.holder.revision() == 2);
}

TEST_CASE("a member that starts while the store is down fetches the highest revision from its peers")
{
    Fixture fixture;
    fixture.store.setOutage(true);
    fixture.watcher.watchStep();
    fixture.watcher.setPeerRevision(MemberId("m2"), 7);
    fixture.watcher.setPeerRevision(MemberId("m3"), 9);
    fixture.watcher.pullStep();
    CHECK(fixture.holder.revision() == 0);
    fixture.peers.copy = { 9, sampleDocument().dump() };
    fixture.clock.advance(1s);
    fixture.watcher.pullStep();
    CHECK(fixture.holder.revision() == 9);
    fixture.clock.advance(1min);
    fixture.watcher.pullStep();
    CHECK(fixture.peers.fetches == 2);
}

TEST_CASE("a peer that sends an older document does not lower the revision")
{
    Fixture fixture;
    CHECK(isOk(fixture.holder.apply(9, sampleDocument().dump())));
    fixture.watcher.setPeerRevision(MemberId("m2"), 12);
    fixture.peers.copy = { 8, sampleDocument().dump() };
    fixture.clock.advance(1s);
    fixture.watcher.pullStep();
    CHECK(fixture.holder.revision() == 9);
    fixture.clock.advance(1s);
    fixture.watcher.pullStep();
    CHECK(fixture.peers.fetches == 1);
}

TEST_CASE("a region of any size has at least one and at most three watchers")
{
    std::vector<MemberId> members;
    for (int i = 0; i < 80; ++i) {
        members.emplace_back("m" + std::to_string(i));
        CHECK(ConfigurationWatcher::selectWatchers(Region("r"), members, 3).size() == std::min<size_t>(3, members.size()));
    }
    Fixture fixture;
    fixture.watcher.setRegionMembers({});
    CHECK(fixture.watcher.isWatching());
}

// Guards against a store that is asked without a pause because it answers watches at once, without a change.
TEST_CASE("a watch that returns without a change is followed by a pause")
{
    Fixture fixture;
    fixture.write(1);
    fixture.watcher.watchStep();
    CHECK(fixture.watcher.watchStep() > 0ms);
    CHECK(fixture.log.revisions.size() == 1);
}
