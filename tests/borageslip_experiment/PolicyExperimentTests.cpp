#include <borageslip_core/borageslip_core.h>
#include <borageslip_experiment/borageslip_experiment.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace borageslip;

namespace {

LoadPattern patternOf(const std::string& name)
{
    const auto schema = readSettings(BORAGESLIP_SOURCE_DIR "/schemas/load-pattern.schema.json", nlohmann::json::object());
    REQUIRE(isOk(schema));
    const auto document = readSettings(BORAGESLIP_SOURCE_DIR "/examples/patterns/" + name + ".json", value(schema));
    INFO((isOk(document) ? "" : error(document).detail));
    REQUIRE(isOk(document));
    auto pattern = loadPatternFromJson(value(document));
    REQUIRE(isOk(pattern));
    return value(std::move(pattern));
}

ExperimentOutcome runOnce(const LoadPattern& pattern, const std::string& policy, uint64_t seed = 1)
{
    const auto strategy = placementStrategy(policy);
    REQUIRE(isOk(strategy));
    return PolicyExperiment(pattern, value(strategy), seed).run();
}

}

TEST_CASE("the same pattern, policy and seed give the same outcome")
{
    const auto pattern = patternOf("crash");
    const std::vector<ExperimentSeries> first { { "crash", "product", { runOnce(pattern, "product", 5) } } };
    const std::vector<ExperimentSeries> second { { "crash", "product", { runOnce(pattern, "product", 5) } } };
    CHECK(experimentJson(first) == experimentJson(second));
}

TEST_CASE("all policies get the same requests, and each request has exactly one outcome")
{
    const auto pattern = patternOf("jump");
    const auto offered = runOnce(pattern, "product").total().offered;
    CHECK(offered > 1000);
    for (const auto& strategy : placementStrategies()) {
        const auto total = runOnce(pattern, std::string(strategy.name)).total();
        CHECK(total.offered == offered);
        CHECK(total.onTime + total.late + total.timedOut + total.rejected + total.failed + total.gaveUp == offered);
    }
}

TEST_CASE("under steady load no request is rejected and at least 98 % are on time")
{
    const auto outcome = runOnce(patternOf("steady"), "product");
    CHECK(outcome.rejections == 0);
    CHECK(outcome.total().onTimeShare() >= 0.98);
}

TEST_CASE("a surge of one account lowers the on-time share of other accounts by at most 3 %")
{
    const auto surge = runOnce(patternOf("hot-tenant"), "product");
    const auto alone = runOnce(patternOf("steady"), "product");
    for (const auto* name : { "interactive/urgent", "batch/report", "archive/summary" })
        CHECK(surge.classes.at(name).onTimeShare() >= 0.97 * alone.classes.at(name).onTimeShare());
}

TEST_CASE("the highest-priority class stays on time when all traffic triples")
{
    CHECK(runOnce(patternOf("jump"), "product").classes.at("interactive/urgent").onTimeShare() >= 0.98);
}

TEST_CASE("an unknown class or policy is rejected, and the error names the class")
{
    auto document = nlohmann::json::parse(R"({"name":"x","seconds":5,"classes":[{"name":"a","account":"b","rate":1,"prompt_tokens":[1,2],
        "output_tokens":[1,2],"timeout_ms":1000,"latency_objective_ms":500}],"events":[{"kind":"surge","at_s":1,"seconds":1,"class":"none"}]})");
    const auto pattern = loadPatternFromJson(document);
    REQUIRE_FALSE(isOk(pattern));
    CHECK(error(pattern).detail.find("none") != std::string::npos);
    document["events"][0]["class"] = "a";
    CHECK(isOk(loadPatternFromJson(document)));
    CHECK_FALSE(isOk(placementStrategy("none")));
}

// Guards against prefixes that are prefilled again while a server prefills them, and against waits that make requests late:
// a start with empty caches, the release of half of the servers, and a prefix that a third of the requests share.
TEST_CASE("requests that wait for the prefill of their prefix save prefills and are on time as often")
{
    for (const auto* name : { "cold-start-9", "cold-start-62", "cold-start-75", "half-released-9", "half-released-75", "hot-prefix-start-75" }) {
        CAPTURE(name);
        const auto pattern = patternOf(name);
        const auto before = runOnce(pattern, "coordinated");
        const auto shared = runOnce(pattern, "single-flight");
        CHECK(shared.prefillFactor() < 0.95 * before.prefillFactor());
        CHECK(shared.total().onTimeShare() >= before.total().onTimeShare() - 0.002);
    }
}
