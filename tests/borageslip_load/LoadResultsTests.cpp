#include <borageslip_load/borageslip_load.h>
#include <catch2/catch.hpp>

using namespace borageslip;

TEST_CASE("percentiles use the nearest rank and are 0 without samples")
{
    std::vector<float> none;
    CHECK(percentile(none, 99) == 0);
    std::vector<float> samples;
    for (int i = 100; i >= 1; --i)
        samples.push_back(static_cast<float>(i));
    CHECK(percentile(samples, 50) == 50);
    CHECK(percentile(samples, 99) == 99);
    CHECK(percentile(samples, 100) == 100);
}

TEST_CASE("failed requests lower the success share and are excluded from the latency")
{
    LoadResults results;
    RequestOutcome good;
    good.requestClass = "c";
    good.outcome = "ok";
    good.totalMilliseconds = 10;
    good.promptTokens = 100;
    good.cachedTokens = 25;
    RequestOutcome refused;
    refused.requestClass = "c";
    refused.outcome = "refused";
    refused.errorKind = "overloaded";
    refused.isNotRun = true;
    results.add(good);
    results.add(refused);
    const auto group = results.summary()["classes"]["c"];
    CHECK(group["ok_share"] == 0.5);
    CHECK(group["reuse"] == 0.25);
    CHECK(group["not_run"] == 1);
    CHECK(group["total_ms"]["count"] == 1);
    CHECK(group["error_kinds"]["overloaded"] == 1);
}

TEST_CASE("a comparison shows the median and the range for each label")
{
    std::vector<nlohmann::json> results;
    for (const int requests : { 1, 9, 2 })
        results.push_back({ { "label", "new" }, { "all", { { "requests", requests } } } });
    results.push_back({ { "label", "old" }, { "all", { { "requests", 4 } } } });
    const auto table = compareResults(results);
    CHECK(table.find("2.000 (1.000 to 9.000)") != std::string::npos);
    CHECK(table.find("4.000 (4.000 to 4.000)") != std::string::npos);
}
