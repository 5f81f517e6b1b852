#include <borageslip_scheduling/borageslip_scheduling.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

const TimePoint s_changedAt = TimePoint() + 1h;

}

// Guards against changes that are dropped because their revisions were issued before.
TEST_CASE("a change of a newer era follows all changes of the earlier ones, whatever its revision")
{
    CHECK(StorePosition { 1, 900 } < StorePosition { 2, 5 });
    CHECK(StorePosition { 0, 900 } < StorePosition { 2, 5 });
    CHECK_FALSE(StorePosition { 2, 5 } < StorePosition { 1, 900 });
    CHECK(StorePosition { 2, 5 } < StorePosition { 2, 6 });
}

// Guards against an instance that mixes the keys of two eras, or that changes its behaviour where no era is stated.
TEST_CASE("a response continues the keys only if it is of their era")
{
    CHECK(decideSourceUse({}, 0, s_changedAt) == SourceUse::Apply);
    CHECK(decideSourceUse({ 1, 1 }, 1, s_changedAt) == SourceUse::Apply);
    CHECK(decideSourceUse({ 1, 2, s_changedAt }, 2, s_changedAt) == SourceUse::ReadAll);
    CHECK(decideSourceUse({ 1, 3, s_changedAt }, 3, s_changedAt) == SourceUse::ReadAll);
    CHECK(decideSourceUse({ 2, 2, s_changedAt }, 2, s_changedAt) == SourceUse::Apply);
}

// Guards against all instances reading the store when their readers have not noticed a new era, against instances that follow
// for long a reader that does not notice it, and against a late response of an earlier era that replaces newer keys.
TEST_CASE("a source of an earlier era is awaited for a short time, then another one is used")
{
    for (const auto& knowledge : std::vector<StoreEraKnowledge> { { 1, 2, s_changedAt }, { 2, 2, s_changedAt } }) {
        CHECK(decideSourceUse(knowledge, 1, s_changedAt) == SourceUse::AwaitSource);
        CHECK(decideSourceUse(knowledge, 1, s_changedAt + 1900ms) == SourceUse::AwaitSource);
        CHECK(decideSourceUse(knowledge, 1, s_changedAt + 2100ms) == SourceUse::UseOther);
        // An instance of an earlier release states no era.
        CHECK(decideSourceUse(knowledge, 0, s_changedAt + 2100ms) == SourceUse::UseOther);
    }
    // The time begins again with each change.
    CHECK(decideSourceUse({ 1, 3, s_changedAt + 1s }, 2, s_changedAt + 2900ms) == SourceUse::AwaitSource);
}

// Guards against more writes in a second than the store takes, when all instances write their records again after a return.
TEST_CASE("the instances spread the writes of their records after a change of era")
{
    constexpr int instances = 300;
    constexpr int writesEach = 2; // A lease and the record.
    constexpr int maxWritesPerSecond = 1200;
    for (uint64_t era = 2; era < 12; ++era) {
        std::vector<int> inHalfSecond(5);
        for (int i = 0; i < instances; ++i) {
            const auto delay = recordDelay("borageslip/members/edge-" + std::to_string(i), era);
            CHECK(delay >= 0ms);
            REQUIRE(delay < 2000ms);
            inHalfSecond.at(static_cast<size_t>(delay / 500ms)) += writesEach;
        }
        for (const int writes : inHalfSecond)
            CHECK(writes < maxWritesPerSecond / 4);
    }
    CHECK(recordDelay("a", 2) != recordDelay("a", 3));
}

// Guards against a draining server that gets requests again because the copy has its entry from before.
TEST_CASE("the entries of a server are ordered by its start, its sequence number and its state")
{
    CHECK(isOlderEntry({ 1000, 9, false }, { 2000, 1, false }));
    CHECK(isOlderEntry({ 1000, 1, false }, { 1000, 2, true }));
    CHECK(isOlderEntry({ 1000, 2, false }, { 1000, 2, true }));
    CHECK_FALSE(isOlderEntry({ 1000, 3, false }, { 1000, 2, true }));
    CHECK_FALSE(isOlderEntry({ 1000, 2, true }, { 1000, 2, true }));
}
