#include "ColdFleetModel.h"

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace borageslip::test;

namespace {

constexpr TimePoint start { 1h };
constexpr uint64_t firstServer = 5;
constexpr uint64_t secondServer = 6;
const ColdShareId s_share { "models", 0 };
const std::vector<uint64_t> s_servers { firstServer, secondServer };

/** Takes a share as the store allows it, and returns the time at which it is held. */
TimePoint acquire(ColdShareKeeper& keeper, TimePoint now, uint64_t era, uint64_t lease)
{
    keeper.setWanted({ s_share });
    keeper.keysRead({}, era, now);
    now += 4s;
    keeper.leaseGranted(lease, era, now);
    keeper.keyCreated(s_share, era, now);
    return now;
}

}

// Guards against figures by which all shares together exceed the bound, for any rate and slack that an operator may set.
TEST_CASE("the rates of the shares keep the bound with all that is in flight", "[cold]")
{
    for (const double perSecond : { 0.05, 0.5, 1.0, 3.0, 4.0, 10.0, 18.0, 40.0, 250.0, 4000.0 }) {
        for (const double overage : { 1.0, 1.2, 1.5, 3.0 }) {
            for (const double slack : { 0.0, 1.0, 5.0, 40.0 }) {
                const ColdBound bound { perSecond, overage, slack };
                const auto rate = coldShareRate(bound);
                CAPTURE(perSecond, overage, slack, rate.shareCount);
                CHECK(mostColdArrivals(rate) <= bound.limit());
                if (rate.shareCount > 0)
                    CHECK(rate.shareCount / std::chrono::duration<double>(rate.interval).count() <= perSecond * 1.000001);
                CHECK((rate.shareCount > 0) == (bound.limit() >= 1));
            }
        }
    }
    CHECK(coldShareRate({ 18, 1.5, 5 }).shareCount == maxColdShares);
    CHECK(coldShareRate({ 0, 1.5, 5 }).shareCount == 0);
}

// Guards against a share that permits more than its rate, or a burst when it changes hands.
TEST_CASE("a share permits one request per interval and server, from one interval after its right began", "[cold]")
{
    ColdShareRights rights;
    CHECK_FALSE(rights.issue("models", 8, 400ms, s_servers, start));
    rights.hold(s_share, start, start + 3s);
    CHECK_FALSE(rights.issue("models", 8, 400ms, s_servers, start + 399ms));
    CHECK(rights.nextIssue("models", 8, 400ms, s_servers, start + 1ms) == start + 400ms);
    CHECK(rights.issue("models", 8, 400ms, s_servers, start + 500ms) == firstServer);
    CHECK(rights.issue("models", 8, 400ms, s_servers, start + 500ms) == secondServer);
    CHECK_FALSE(rights.issue("models", 8, 400ms, s_servers, start + 899ms));
    CHECK(rights.issue("models", 8, 400ms, s_servers, start + 900ms) == firstServer);
    CHECK_FALSE(rights.issue("others", 8, 400ms, s_servers, start + 2s));
    CHECK_FALSE(rights.issue("models", 0, 400ms, s_servers, start + 2s));
    CHECK_FALSE(rights.issue("models", 8, 400ms, s_servers, start + 3s));
    rights.hold(s_share, start + 5s, start + 9s);
    CHECK_FALSE(rights.issue("models", 8, 400ms, s_servers, start + 5399ms));
    CHECK(rights.issue("models", 8, 400ms, s_servers, start + 5400ms) == firstServer);
}

// Guards against a request that is written late, after a freeze or a slow connection, or to another server.
TEST_CASE("a permit is valid for its server and for its time only", "[cold]")
{
    const ColdPermit permit { firstServer, start + coldPermitLifetime };
    CHECK(permit.allows(firstServer, start + coldPermitLifetime - 1ms));
    CHECK_FALSE(permit.allows(firstServer, start + coldPermitLifetime));
    CHECK_FALSE(permit.allows(secondServer, start));
}

// Guards against sending freely to a server that is cold by any indication, and against a server that stays limited.
TEST_CASE("a server is cold by each indication until a later one ends it", "[cold]")
{
    ColdState state;
    state.recordEntry(2s, start);
    CHECK(state.isCold(start + 1999ms));
    CHECK_FALSE(state.isCold(start + 2s));

    SECTION("a crash lasts until it has answered for the cold time")
    {
        state.recordUnreachable(start + 10s);
        CHECK(state.isCold(start + 60s));
        state.recordAnswer(3s, start + 9s, start + 60s);
        CHECK(state.isCold(start + 100s));
        state.recordAnswer(3s, start + 100s, start + 101s);
        CHECK(state.isCold(start + 103900ms));
        CHECK_FALSE(state.isCold(start + 104s));
    }
    SECTION("an entry that may have been written before the crash does not end it")
    {
        state.recordUnreachable(start + 10s);
        state.recordEntry(0s, start + 13s);
        CHECK(state.isCold(start + 13s));
        state.recordEntry(0s, start + 14s);
        CHECK_FALSE(state.isCold(start + 14s));
    }
    SECTION("a statement that it is warm does not count if its request was sent before the last indication")
    {
        state.assume(3s, start + 10s);
        state.recordStatement(0s, start + 9s, start + 11s);
        CHECK(state.isCold(start + 11s));
        state.recordStatement(0s, start + 11s, start + 12s);
        CHECK_FALSE(state.isCold(start + 12s));
    }
    SECTION("a statement on a request from before a crash does not end the suspicion")
    {
        state.recordUnreachable(start + 10s);
        state.recordStatement(10ms, start + 9s, start + 11s);
        CHECK(state.isCold(start + 12s));
        state.recordStatement(10ms, start + 12s, start + 13s);
        CHECK_FALSE(state.isCold(start + 14s));
    }
}

// Guards against a right that outlives the lease because a renewal is unanswered, or because it counts from the response.
TEST_CASE("a right ends by the time of the last renewal that was sent and answered", "[cold]")
{
    ColdShareRights rights;
    ColdShareKeeper keeper(rights, 1);
    const auto held = acquire(keeper, start, 1, 7);
    CHECK(rights.isHeld(s_share, held + 3599ms));
    CHECK_FALSE(rights.isHeld(s_share, held + 3600ms));
    const auto step = keeper.next(held + 2s);
    REQUIRE(step.call == ColdShareKeeper::Call::RenewLease);
    keeper.leaseRenewed(1, held + 2s);
    CHECK_FALSE(rights.isHeld(s_share, held + 3600ms));
    REQUIRE(keeper.next(held + 2500ms).call == ColdShareKeeper::Call::ReadKeys);
    const ColdShareKeys own { { { s_share, keeper.claim(), 3 } } };
    keeper.keysRead(own, 1, held + 2500ms);
    CHECK(rights.isHeld(s_share, held + 5599ms));
    CHECK_FALSE(rights.isHeld(s_share, held + 5600ms));
    keeper.callFailed(keeper.next(held + 4s), held + 5s);
    CHECK_FALSE(rights.isHeld(s_share, held + 5600ms));
}

// Guards against a second holder of a share of which the first one still has its right.
TEST_CASE("a share is created only after a whole time to live without it, in one era", "[cold]")
{
    ColdShareRights rights;
    ColdShareKeeper keeper(rights, 1);
    keeper.setWanted({ s_share });
    CHECK(keeper.next(start).call == ColdShareKeeper::Call::ReadKeys);
    keeper.keysRead({}, 1, start);
    CHECK(keeper.next(start + 3900ms).call == ColdShareKeeper::Call::None);
    SECTION("the time has passed")
    {
        CHECK(keeper.next(start + 4500ms).call == ColdShareKeeper::Call::GrantLease);
    }
    SECTION("the key was seen in the meantime")
    {
        keeper.keyWritten({ s_share, "other" });
        keeper.keyRemoved(s_share);
        CHECK(keeper.next(start + 4500ms).call == ColdShareKeeper::Call::ReadKeys);
    }
    SECTION("the store has come back from a copy in the meantime")
    {
        keeper.keysRead({}, 2, start + 3s);
        CHECK(keeper.next(start + 4500ms).call == ColdShareKeeper::Call::None);
        CHECK(keeper.next(start + 7500ms).call == ColdShareKeeper::Call::GrantLease);
    }
    SECTION("the share has had another holder in the meantime")
    {
        keeper.keysRead({ {}, { { s_share, 9 } } }, 1, start + 3s);
        CHECK(keeper.next(start + 4500ms).call == ColdShareKeeper::Call::None);
        CHECK(keeper.next(start + 7500ms).call == ColdShareKeeper::Call::GrantLease);
        keeper.leaseGranted(7, 1, start + 7500ms);
        CHECK(keeper.next(start + 7510ms).revision == 9);
    }
    SECTION("the creation is carried out in another era")
    {
        keeper.leaseGranted(7, 1, start + 4500ms);
        keeper.keyCreated(s_share, 2, start + 4510ms);
        CHECK_FALSE(rights.isHeld(s_share, start + 4510ms));
    }
}

// Guards against the renewal of a lease number that belongs to another instance after a restore.
TEST_CASE("after a restore a right is extended only if the store has the key with the claim", "[cold]")
{
    ColdShareRights rights;
    ColdShareKeeper keeper(rights, 1);
    const auto held = acquire(keeper, start, 1, 7);
    keeper.leaseRenewed(2, held + 1s);
    SECTION("the copy has the key")
    {
        const ColdShareKeys own { { { s_share, keeper.claim(), 3 } } };
        keeper.keysRead(own, 2, held + 1100ms);
        CHECK_FALSE(rights.isHeld(s_share, held + 3600ms));
        REQUIRE(keeper.next(held + 1200ms).call == ColdShareKeeper::Call::RenewLease);
        keeper.leaseRenewed(2, held + 1200ms);
        keeper.keysRead(own, 2, held + 1300ms);
        CHECK(rights.isHeld(s_share, held + 4700ms));
    }
    SECTION("the copy lacks the key")
    {
        keeper.keysRead({}, 2, held + 1100ms);
        CHECK_FALSE(rights.isHeld(s_share, held + 1100ms));
        CHECK(keeper.next(held + 1200ms).call != ColdShareKeeper::Call::RenewLease);
    }
    SECTION("a response of the old era arrives afterwards")
    {
        keeper.keysRead({}, 2, held + 1100ms);
        const ColdShareKeys old { { { s_share, "any", 3 } } };
        keeper.keysRead(old, 1, held + 1200ms);
        CHECK_FALSE(rights.isHeld(s_share, held + 1200ms));
    }
}

// Guards against more requests at a cold server than the bound, in any second, whatever fails; and, without faults, against
// cold servers that idle while callers wait.
TEST_CASE("cold servers get no more than the bound in any second, and most of their rate", "[cold][fleet]")
{
    struct Row {
        const char* name;
        ModelFaults faults;
        double usedRate;
    };
    ModelFaults everything;
    everything.lostReplies = 0.1;
    everything.lateWrites = 0.1;
    everything.hasPartitions = everything.hasStorePartitions = everything.hasRestarts = everything.hasFreezes = everything.hasRestores = everything.hasKeyRemovals = true;
    // With faults, the figure only shows that the row does not hold for want of requests.
    std::vector<Row> rows { { "no faults", {}, 0.75 }, { "lost replies", {}, 0.5 }, { "partitions", {}, 0.4 }, { "partitions from the store", {}, 0.4 }, { "restarts", {}, 0.4 }, { "freezes", {}, 0.4 }, { "restores", {}, 0.4 }, { "removed keys", {}, 0.4 }, { "everything", everything, 0.1 } };
    rows[1].faults.lostReplies = 0.1;
    rows[1].faults.lateWrites = 0.02;
    rows[2].faults.hasPartitions = true;
    rows[3].faults.hasStorePartitions = true;
    rows[4].faults.hasRestarts = true;
    rows[5].faults.hasFreezes = true;
    rows[6].faults.hasRestores = true;
    rows[7].faults.hasKeyRemovals = true;
    for (const size_t instances : { 62, 300 }) {
        for (const auto& row : rows) {
            for (uint64_t seed = 1; seed <= 3; ++seed) {
                ModelSettings settings;
                settings.instances = instances;
                settings.seed = seed;
                settings.faults = row.faults;
                ColdFleetModel model(settings);
                model.run(90s);
                INFO(row.name << ", " << instances << " instances, seed " << seed << ": at most " << model.mostWithinSecond() << " in a second, used " << model.usedRate(12s) << ", held twice " << model.doubleHolds());
                CHECK(model.mostWithinSecond() <= settings.bound.limit());
                CHECK(model.usedRate(12s) >= row.usedRate);
                CHECK(model.doubleHolds() == 0);
            }
        }
    }
}
