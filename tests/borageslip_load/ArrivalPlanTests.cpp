#include <algorithm>
#include <borageslip_load/borageslip_load.h>
#include <catch2/catch.hpp>

using namespace borageslip;

namespace {

LoadMix mixFromFile(const std::string& name)
{
    const auto schema = readSettings(BORAGESLIP_SOURCE_DIR "/schemas/load-mix.schema.json", nlohmann::json::object());
    REQUIRE(isOk(schema));
    const auto document = readSettings(BORAGESLIP_SOURCE_DIR "/examples/mixes/" + name + ".json", value(schema));
    INFO((isOk(document) ? "" : error(document).detail));
    REQUIRE(isOk(document));
    return loadMixFromJson(value(document));
}

LoadMix surgingMix()
{
    LoadMix mix;
    mix.arrivalsPerSecond = 20;
    mix.accounts = { { "steady", "a", 1 }, { "surging", "b", 1 } };
    mix.classes.resize(1);
    mix.profile = { { 0, 1, "" }, { 50, 20, "surging" } };
    return mix;
}

}

TEST_CASE("the example mixes match the schema and mark non-idempotent calls")
{
    for (const char* name : { "asociacion", "totara" }) {
        const auto mix = mixFromFile(name);
        CHECK(mix.accounts.size() == 10);
        CHECK(std::any_of(mix.classes.begin(), mix.classes.end(), [](const auto& c) { return !c.isIdempotent && c.kind == LoadMix::Kind::Service; }));
    }
}

TEST_CASE("a plan is reproducible from its seed, sorted, bounded and has unique request ids")
{
    const auto mix = mixFromFile("asociacion");
    const ArrivalLimits limits { std::chrono::seconds(60), 300 };
    const auto plan = planArrivals(mix, limits, 7);
    const auto again = planArrivals(mix, limits, 7);
    REQUIRE(plan.size() == 300);
    REQUIRE(again.size() == plan.size());
    std::set<std::string> ids;
    for (size_t i = 0; i < plan.size(); ++i) {
        CHECK((plan[i].id == again[i].id && plan[i].at == again[i].at && plan[i].maxTokens == again[i].maxTokens));
        CHECK((i == 0 || plan[i - 1].at <= plan[i].at));
        CHECK(plan[i].at < limits.duration);
        ids.insert(plan[i].id);
    }
    CHECK(ids.size() == plan.size());
    CHECK(planArrivals(mix, limits, 8)[0].at != plan[0].at);
}

TEST_CASE("a rate step of one account changes only that account's arrivals")
{
    const auto plan = planArrivals(surgingMix(), { std::chrono::seconds(100), 1'000'000 }, 3);
    std::array<std::array<int, 2>, 2> counts {}; // By account, then before and after the rate step.
    for (const auto& request : plan)
        ++counts.at(request.account).at(request.at >= std::chrono::seconds(50));
    // Expected: 500, 500, 500 and 10,000; the margins are over five standard deviations.
    CHECK(counts[0][0] == Approx(500).margin(120));
    CHECK(counts[0][1] == Approx(500).margin(120));
    CHECK(counts[1][0] == Approx(500).margin(120));
    CHECK(counts[1][1] == Approx(10'000).margin(500));
}

TEST_CASE("each chat turn follows after the pause, with a prompt that includes all previous turns")
{
    LoadMix mix = surgingMix();
    mix.profile.clear();
    mix.classes[0].turns = { 3, 3 };
    mix.classes[0].pauseSeconds = { 5, 6 };
    mix.classes[0].promptTokens = { 100, 100 };
    mix.classes[0].maxTokens = { 10, 10 };
    std::map<std::string, std::vector<PlannedRequest>> chats;
    for (auto& request : planArrivals(mix, { std::chrono::seconds(60), 1'000'000 }, 1))
        chats[request.chat].push_back(request);
    for (const auto& [chat, turns] : chats) {
        for (size_t turn = 1; turn < turns.size(); ++turn) {
            CHECK(turns[turn].at - turns[turn - 1].at >= std::chrono::seconds(5));
            CHECK(turns[turn].promptTokens > turns[turn - 1].promptTokens + turns[turn - 1].maxTokens);
        }
    }
}
