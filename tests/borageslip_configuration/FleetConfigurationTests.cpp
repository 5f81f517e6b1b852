#include "Fixtures.h"

#include <catch2/catch.hpp>

using namespace borageslip;

TEST_CASE("a bearer key maps to its own account only, and an account can use only the models on its list")
{
    const auto configuration = value(FleetConfiguration::fromDocument(sampleDocument()));
    REQUIRE(configuration->accountForKey("key-a"));
    CHECK(configuration->accountForKey("key-a")->id == AccountId("a"));
    CHECK_FALSE(configuration->accountForKey("key-c"));
    CHECK_FALSE(configuration->accountForKey(""));
    CHECK_FALSE(configuration->account(AccountId("a"))->mayUse(ModelId("other")));
    CHECK(configuration->account(AccountId("b"))->mayUse(ModelId("other")));
}

TEST_CASE("the longest matching route decides whether a call is idempotent, whatever the spelling of the path")
{
    const auto configuration = value(FleetConfiguration::fromDocument(sampleDocument()));
    const auto& service = *configuration->service(ServiceId("booking"));
    CHECK_FALSE(service.isIdempotent("POST", "/swaps/7"));
    CHECK(service.isIdempotent("POST", "/swaps/quote?x=1"));
    CHECK_FALSE(service.isIdempotent("POST", "/swaps/quotes"));
    CHECK_FALSE(service.isIdempotent("POST", "/swaps/quote/../7"));
    CHECK_FALSE(service.isIdempotent("GET", "//%63harge/1"));
    CHECK(service.isIdempotent("GET", "/stock"));
    CHECK_FALSE(service.isIdempotent("DELETE", "/stock"));
}

TEST_CASE("the error names the path of every unresolved reference, duplicate address or key, and invalid field")
{
    auto document = sampleDocument();
    document["models"]["large"]["engines"].push_back("e9");
    document["accounts"]["a"]["models"].push_back("tiny");
    document["accounts"]["b"]["key_sha256"].push_back(sha256Hex("key-a"));
    document["objectives"] = { { { "name", "o" }, { "account", "z" } } };
    document["engines"]["e3"]["address"] = "10.0.0.1:80";
    const auto result = FleetConfiguration::fromDocument(document);
    REQUIRE_FALSE(isOk(result));
    for (const auto* path : { "/models/large/engines/3", "/accounts/a/models/1", "/accounts/b/key_sha256", "/objectives/0/account", "/engines/e3/address" })
        CHECK(error(result).detail.find(path) != std::string::npos);
    document["limits"]["load_bound"] = "x";
    CHECK(error(FleetConfiguration::fromDocument(document)).detail.find("/limits/load_bound") != std::string::npos);
}

TEST_CASE("a model that lists an engine twice is rejected, because the engine would count twice in its capacity")
{
    auto document = sampleDocument();
    document["models"]["large"]["engines"].push_back("e1");
    const auto result = FleetConfiguration::fromDocument(document);
    REQUIRE_FALSE(isOk(result));
    CHECK(error(result).detail.find("/models/large/engines: duplicate engine e1") != std::string::npos);
}
