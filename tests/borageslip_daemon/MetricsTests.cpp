#include <borageslip_daemon/metrics/Metrics.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <set>

using namespace borageslip;

namespace {

using MetricTypes = std::set<std::pair<std::string, std::string>>;

MetricTypes findMetricTypes(const std::string& text, const std::regex& pattern)
{
    MetricTypes types;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match)
        types.emplace((*match)[1], (*match)[2]);
    return types;
}

}

TEST_CASE("docs/METRICS.md lists exactly the metrics of the program, with their types")
{
    Metrics metrics;
    metrics.callEnded({ "chat", "long", std::nullopt });
    metrics.redirected("bound");
    metrics.retried("resume");
    metrics.attemptEnded({});
    metrics.setMembers("alive", 1);
    metrics.setControlBytes("probe", "sent", 1);
    metrics.setStoreCalls("read", 1);
    metrics.objective("first-token", 1, 1);
    metrics.setObjectiveTarget("first-token", 0.95);
    std::ifstream file(BORAGESLIP_SOURCE_DIR "/docs/METRICS.md");
    const std::string document((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    const auto documented = findMetricTypes(document, std::regex(R"(\| `(borageslip_\w+)` \| (\w+) \|)"));
    const auto written = findMetricTypes(metrics.text(), std::regex(R"(# TYPE (\w+) (\w+))"));
    CHECK(documented.size() > 20);
    CHECK(documented == written);
}
