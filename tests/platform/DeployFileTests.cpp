#include <platform/operators/DeployFile.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using platform::checkDeployFile;

namespace {

std::vector<std::string> problemsOf(const std::string& text)
{
    const auto checked = checkDeployFile(text);
    REQUIRE(isOk(checked));
    return value(checked);
}

std::string withRole(const std::string& lines)
{
    return "build = \"make\"\n[roles.a]\n" + lines;
}

const std::string s_validRole = "run = \"target/a\"\non = \"edge\"\nshare = 1.0\nserves = [\"edge\", \"registry\"]\n";

}

TEST_CASE("the fleet's own deploy file has no problems")
{
    const auto text = readFile(BORAGESLIP_SOURCE_DIR "/deploy/system.toml");
    REQUIRE(isOk(text));
    CHECK(problemsOf(value(text)).empty());
}

TEST_CASE("each mistake in a deploy file is reported with the path of its entry")
{
    const std::vector<std::pair<std::string, std::string>> cases {
        { "[roles.a]\n" + s_validRole, "build" },
        { "build = \"make\"\n", "roles" },
        { "build = \"make\"\npackages = \"g++\"\n[roles.a]\n" + s_validRole, "packages" },
        { withRole("run = \"bin/a\"\non = \"edge\"\ncount = 1\nserves = [\"registry\"]\n"), "roles.a.run" },
        { withRole("on = \"edge\"\ncount = 1\nserves = [\"registry\"]\n"), "roles.a.run" },
        { withRole("run = \"target/a\"\ncount = 1\nserves = [\"registry\"]\n"), "roles.a.on" },
        { withRole("run = \"target/a\"\non = \"edge\"\nserves = [\"registry\"]\n"), "roles.a" },
        { withRole("run = \"target/a\"\non = \"edge\"\nshare = 1.5\nserves = [\"registry\"]\n"), "roles.a.share" },
        { withRole("run = \"target/a\"\non = \"edge\"\ncount = 0\nserves = [\"registry\"]\n"), "roles.a.count" },
        { withRole("run = \"target/a\"\non = \"edge\"\ncount = 1\nserves = [\"registry\", \"x\"]\n"), "roles.a.serves" },
        { withRole("run = \"target/a\"\non = \"edge\"\ncount = 1\nserves = [\"edge\"]\n"), "roles" },
        { withRole(s_validRole + "metrics = \"99999/m\"\n"), "roles.a.metrics" },
        { withRole(s_validRole + "metrics = \"9464\"\n"), "roles.a.metrics" },
        { withRole(s_validRole + "env = { LD_PRELOAD = \"x\" }\n"), "roles.a.env.LD_PRELOAD" },
        { withRole(s_validRole + "env = { lower = \"x\" }\n"), "roles.a.env.lower" },
        { withRole(s_validRole) + "[roles.b]\n" + s_validRole, "roles.b.serves" },
    };
    for (const auto& entry : cases) {
        const auto& text = entry.first;
        const auto& path = entry.second;
        INFO(text);
        const auto problems = problemsOf(text);
        REQUIRE_FALSE(problems.empty());
        const bool isNamed = std::any_of(problems.begin(), problems.end(), [&](const auto& problem) { return problem.starts_with(path + ":"); })
            || (path == "roles.b.serves" && std::any_of(problems.begin(), problems.end(), [](const auto& problem) { return problem.find(".serves: another role") != std::string::npos; }));
        CHECK(isNamed);
    }
}

TEST_CASE("text that is not TOML is an error and not treated as an empty file")
{
    CHECK_FALSE(isOk(checkDeployFile("build = ")));
    CHECK_FALSE(isOk(checkDeployFile("[roles")));
}
