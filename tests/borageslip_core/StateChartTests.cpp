#include <borageslip_core/borageslip_core.h>

#include <catch2/catch.hpp>
#include <filesystem>

using namespace borageslip;

TEST_CASE("a chart that leads to an unknown state is rejected")
{
    const auto chart = StateChart::parse(R"({"name":"c","initial":"a","states":{"a":{"on":{"go":"b"}}}})");
    REQUIRE_FALSE(isOk(chart));
    CHECK(error(chart).detail.find("unknown state b") != std::string::npos);
}

TEST_CASE("a chart with a state that cannot be reached is rejected")
{
    CHECK_FALSE(isOk(StateChart::parse(R"({"name":"c","initial":"a","states":{"a":{},"b":{}}})")));
}

TEST_CASE("a bad field of a chart is named by its path")
{
    const auto chart = StateChart::parse(R"({"name":"c","initial":"a","states":{"a":{"flags":[1]}}})");
    REQUIRE_FALSE(isOk(chart));
    CHECK(error(chart).detail.find("/states/a/flags/0") != std::string::npos);
}

TEST_CASE("an event without a transition keeps the state")
{
    StateChartInstance daemon(StateChart::named("daemon"));
    CHECK_FALSE(isOk(daemon.fire("idle")));
    CHECK(daemon.isIn("starting"));
    CHECK(isOk(daemon.fire("ready")));
    CHECK(daemon.hasFlag("listed"));
    CHECK(isOk(daemon.fire("stop")));
    CHECK(daemon.hasFlag("accepts"));
    CHECK_FALSE(daemon.hasFlag("listed"));
}

TEST_CASE("every committed chart is valid")
{
    for (const auto& entry : std::filesystem::directory_iterator(BORAGESLIP_SOURCE_DIR "/charts"))
        CHECK_NOTHROW(StateChart::named(entry.path().stem().string()));
}
