#include <borageslip_traffic/configuration/TrafficConfiguration.h>

#include <catch2/catch.hpp>

using namespace borageslip;

namespace {

Route routeOf(std::string name, std::string prefix, std::string service = "pool")
{
    Route route;
    route.name = std::move(name);
    route.host = "app.example";
    route.pathPrefix = std::move(prefix);
    route.services.push_back({ std::move(service), 1 });
    return route;
}

TrafficConfigurationBuilder withService()
{
    TrafficConfigurationBuilder builder;
    builder.addService({ "pool" });
    return builder;
}

}

TEST_CASE("the route with the longest prefix is chosen, whatever the order of the configuration")
{
    auto built = withService().addRoute(routeOf("short", "/a/")).addRoute(routeOf("long", "/a/b/")).build();
    REQUIRE(isOk(built));
    const auto& configuration = value(built);
    CHECK(configuration.route("app.example", "/a/b/c")->name == "long");
    CHECK(configuration.route("app.example", "/a/c")->name == "short");
    CHECK(configuration.route("app.example", "/a") == nullptr);
    CHECK(configuration.route("other.example", "/a/c") == nullptr);
}

TEST_CASE("a configuration with an unknown service, an invalid path prefix or a duplicate key is rejected")
{
    CHECK_FALSE(isOk(withService().addRoute(routeOf("r", "/a/", "unknown")).build()));
    CHECK_FALSE(isOk(withService().addRoute(routeOf("r", "/a")).build()));
    const std::vector<std::string> keys { "key" };
    CHECK_FALSE(isOk(withService().addAccount({ "one" }, keys).addAccount({ "two" }, keys).build()));
}

TEST_CASE("a key identifies its client account, and an unknown key identifies none")
{
    const std::vector<std::string> keys { "key-1", "key-2" };
    auto built = withService().addAccount({ "account", 3 }, keys).build();
    REQUIRE(isOk(built));
    CHECK(value(built).accountForKey("key-2")->priority == 3);
    CHECK(value(built).accountForKey("key-3") == nullptr);
}

TEST_CASE("only idempotent requests and streams that can be resumed may run again")
{
    Route route;
    route.kind = RequestKind::AtMostOnce;
    CHECK_FALSE(route.mayRunAgain());
    route.isResumable = true;
    CHECK_FALSE(route.mayRunAgain());
    route.kind = RequestKind::Stream;
    CHECK(route.mayRunAgain());
    route.isResumable = false;
    CHECK_FALSE(route.mayRunAgain());
    route.kind = RequestKind::Idempotent;
    CHECK(route.mayRunAgain());
}
