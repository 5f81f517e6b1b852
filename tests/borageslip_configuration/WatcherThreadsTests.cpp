#include "Fixtures.h"

#include <borageslip_core/time/SystemClock.h>
#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

struct AppliedEvent {
    std::mutex mutex;
    std::condition_variable changed;
};

/** A member whose configuration watcher runs on its own threads. */
struct Node : ConfigurationHolder::Listener {
    Node(MemberId member, const Clock& clock, KeyValueStore& store, ConfigurationWatcher::Peers& peers, AppliedEvent& event)
        : id(std::move(member))
        , appliedEvent(event)
        , watcher({ .self = id, .region = Region("r"), .seed = hashBytes(id.text()), .watchTimeout = 50ms, .coalesceDelay = 1ms, .initialBackoff = 1ms, .maxBackoff = 20ms, .maxPullJitter = 5ms, .storePollInterval = 50ms }, clock, store, peers, holder)
    {
        holder.addListener(*this);
        holder.addListener(differences);
    }

    void configurationApplied(const AppliedConfiguration& applied) override
    {
        isIncreasing = isIncreasing && applied.revision > last;
        last = applied.revision;
        appliedEvent.changed.notify_all();
    }

    MemberId id;
    AppliedEvent& appliedEvent;
    ConfigurationHolder holder;
    ConfigurationDifferences differences;
    uint64_t last = 0;
    std::atomic<bool> isIncreasing = true;
    ConfigurationWatcher watcher;
};

/** Members of one region that fetch configurations from each other. The test's thread distributes the gossip. */
struct FakeRegion : ConfigurationWatcher::Peers {
    Result<ConfigurationWatcher::FetchedDocument> fetchFromPeer(const MemberId& id, const AppliedConfiguration* held) override
    {
        const std::lock_guard lock(mutex);
        const auto found = nodes.find(id);
        if (found == nodes.end())
            return Error { ErrorKind::PeerUnreachable, "the peer has stopped" };
        const auto answer = found->second->differences.responseFor(held ? held->revision : 0);
        if (!isOk(answer))
            return error(answer);
        auto document = value(answer).resolveDocument(held);
        if (!isOk(document))
            document = value(found->second->differences.responseFor(0)).resolveDocument(nullptr);
        return ConfigurationWatcher::FetchedDocument { value(answer).revision, value(document) };
    }

    void start(const std::string& id)
    {
        auto node = std::make_shared<Node>(MemberId(id), clock, store, *this, applied);
        const std::lock_guard lock(mutex);
        nodes[node->id] = node;
        updateMembers();
        node->watcher.start();
    }

    void stopNode(const MemberId& id)
    {
        std::shared_ptr<Node> node;
        {
            const std::lock_guard lock(mutex);
            node = nodes[id];
            nodes.erase(id);
            updateMembers();
        }
        node->watcher.stop();
    }

    std::vector<MemberId> members() const
    {
        std::vector<MemberId> ids;
        for (const auto& [id, node] : nodes)
            ids.push_back(id);
        return ids;
    }

    void updateMembers()
    {
        for (const auto& [id, node] : nodes)
            node->watcher.setRegionMembers(members());
    }

    void write(int changes)
    {
        for (int i = 0; i < changes; ++i) {
            auto document = sampleDocument();
            document["plan"] = std::to_string(++version);
            const auto written = store.compareAndSwap(configurationKey, document.dump(), revision);
            REQUIRE(isOk(written));
            revision = value(written);
        }
    }

    /** Distributes gossip until every member has the newest revision. If that never happens, ctest's time limit ends the
        test. */
    void waitUntilSynchronised()
    {
        std::unique_lock lock(applied.mutex);
        while (true) {
            lock.unlock();
            bool isSynchronised = true;
            for (const auto& [id, node] : nodes) {
                isSynchronised = isSynchronised && node->holder.revision() == revision;
                for (const auto& [other, peer] : nodes)
                    node->watcher.setPeerRevision(other, peer->holder.revision());
            }
            if (isSynchronised)
                return;
            lock.lock();
            // Gossip is also repeated without a change, because a member removes a peer from which a fetch failed.
            applied.changed.wait_for(lock, 1ms);
        }
    }

    void stopAll()
    {
        for (const auto& [id, node] : nodes) {
            node->watcher.stop();
            CHECK(node->isIncreasing);
        }
    }

    SystemClock clock;
    AppliedEvent applied;
    MemoryStore store { clock, MemoryStore::WatchMode::Wait };
    std::mutex mutex;
    std::map<MemberId, std::shared_ptr<Node>> nodes;
    uint64_t revision = 0;
    int version = 0;
};

}

TEST_CASE("with threads running, bursts of changes reach every member after all watchers were stopped, and no revision decreases")
{
    FakeRegion region;
    for (const auto* id : { "m1", "m2", "m3", "m4", "m5", "m6" })
        region.start(id);
    region.write(1);
    region.waitUntilSynchronised();
    region.write(50);
    region.waitUntilSynchronised();
    for (const auto& watcher : ConfigurationWatcher::selectWatchers(Region("r"), region.members(), 3)) {
        CHECK(region.nodes[watcher]->watcher.isWatching());
        region.stopNode(watcher);
    }
    region.write(50);
    region.waitUntilSynchronised();
    region.stopAll();
    CHECK(invariantViolations() == 0);
}

TEST_CASE("with threads running, the configuration stays active in an outage, a new member fetches it from its peers, and later changes arrive")
{
    FakeRegion region;
    for (const auto* id : { "m1", "m2", "m3", "m4" })
        region.start(id);
    region.write(3);
    region.waitUntilSynchronised();
    region.store.setOutage(true);
    region.start("m5");
    region.waitUntilSynchronised();
    region.stopNode(MemberId("m1"));
    region.start("m1");
    region.waitUntilSynchronised();
    region.store.setOutage(false);
    region.write(50);
    region.waitUntilSynchronised();
    region.stopAll();
    CHECK(invariantViolations() == 0);
}
