#include <borageslip_report/borageslip_report.h>

#include <catch2/catch.hpp>

using namespace borageslip;

namespace {

std::string histogramText(const std::string& name, uint64_t within, uint64_t all, const char* boundary = "0.043")
{
    return name + "_bucket{le=\"" + boundary + "\"} " + std::to_string(within) + "\n" + name + "_bucket{le=\"+Inf\"} " + std::to_string(all) + "\n";
}

InstanceScrape makeScrape(uint64_t met, uint64_t missed, const nlohmann::json& engines = nlohmann::json::object(), const char* boundary = "0.043")
{
    const nlohmann::json counts { { "met", met }, { "missed", missed } };
    nlohmann::json objective {
        { "name", "first-token" }, { "service", nullptr }, { "account", "<a>" }, { "priority", nullptr }, { "first_token_ms", 2000 }, { "between_tokens_ms", nullptr }, { "target", 0.95 },
        { "fast", counts }, { "slow", counts }, { "budget", counts }, { "intervals", { { met, missed } } },
        { "causes", { { "kinds", nlohmann::json::object() }, { "accounts", nlohmann::json::object() }, { "engines", engines } } }
    };
    InstanceScrape result;
    result.address = "127.0.0.1:1";
    result.objectives = { { "uptime_s", 60 }, { "interval_s", 30 }, { "objectives", { objective } } };
    result.metrics = histogramText("borageslip_first_token_seconds", met, met + missed, boundary) + histogramText("borageslip_between_tokens_seconds", met, met + missed, boundary);
    return result;
}

}

TEST_CASE("the burn rate and the budget are computed from the summed counts of all routers, not as a mean of their rates")
{
    const std::vector scrapes { makeScrape(90, 10), makeScrape(900, 0) };
    const auto report = ObjectiveReport::merge(scrapes);
    REQUIRE(report.instances == 2);
    REQUIRE(report.objectives.size() == 1);
    const auto& row = report.objectives.front();
    CHECK(*row.burnRate(row.fast) == Approx(10.0 / 1000 / 0.05));
    CHECK(*row.budgetLeft() == Approx(1 - 10.0 / 1000 / 0.05));
    CHECK(report.firstToken.count() == 1000);
    CHECK(*report.firstToken.shareAtOrBelow(0.043) == Approx(0.99));
}

TEST_CASE("a router with different bucket boundaries, a malformed response or a failed scrape is listed and excluded entirely")
{
    std::vector scrapes { makeScrape(10, 0), makeScrape(5, 5, nlohmann::json::object(), "0.05"), makeScrape(1, 0), makeScrape(1, 0) };
    scrapes[2].objectives = nlohmann::json::parse("[1]");
    scrapes[3].failure = "timeout";
    const auto report = ObjectiveReport::merge(scrapes);
    CHECK(report.instances == 1);
    CHECK(report.failures.size() == 3);
    CHECK(report.objectives.front().fast.total() == 10);
    CHECK(report.firstToken.count() == 10);
}

TEST_CASE("causes are ranked by their sum over the routers and limited in number")
{
    nlohmann::json first = nlohmann::json::object();
    nlohmann::json second = nlohmann::json::object();
    for (int i = 0; i < 20; ++i) {
        first["engine-" + std::to_string(i)] = { { "fast", 1 }, { "slow", 100 - i } };
        second["engine-" + std::to_string(i)] = { { "fast", 1 }, { "slow", 10 * i } };
    }
    const std::vector scrapes { makeScrape(1, 1, first), makeScrape(1, 1, second) };
    const auto report = ObjectiveReport::merge(scrapes);
    const auto& engines = report.objectives.front().engines;
    REQUIRE(engines.size() == 10);
    CHECK(engines.front().name == "engine-19");
    CHECK(engines.front().slow == 81 + 190);
    CHECK(engines.front().fast == 2);
}

TEST_CASE("names in the report are escaped in the HTML page, and the page refers to no other file")
{
    const std::vector scrapes { makeScrape(5, 5) };
    const auto page = reportPage(ObjectiveReport::merge(scrapes), "Report");
    CHECK(page.find("<a>") == std::string::npos);
    CHECK(page.find("account &lt;a&gt;") != std::string::npos);
    CHECK(page.find("<svg") != std::string::npos);
    CHECK(page.find("src=") == std::string::npos);
    CHECK(page.find("href=") == std::string::npos);
}

TEST_CASE("an objective without events has neither a burn rate nor a value for the budget left")
{
    const std::vector scrapes { makeScrape(0, 0) };
    const auto report = ObjectiveReport::merge(scrapes);
    CHECK_FALSE(report.objectives.front().budgetLeft());
    CHECK(report.toJson()["objectives"][0]["budget_left"].is_null());
    CHECK(reportText(report).find("first-token") != std::string::npos);
}
