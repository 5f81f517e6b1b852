#include "Fixtures.h"

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

TEST_CASE("a router that is unreachable or has an older revision counts as outdated")
{
    HttpListener listener({ .pool = {}, .keepAliveTimeout = 1s });
    listener.server().Get("/operator/status", [](const httplib::Request&, httplib::Response& response) {
        response.set_content(R"({"id":"m1","revision":7,"state":"serving","accounts_in_use":["a"]})", "application/json");
    });
    REQUIRE(isOk(listener.start("127.0.0.1", 0)));
    HttpListener closed({ .pool = {} });
    REQUIRE(isOk(closed.start("127.0.0.1", 0)));
    closed.stop();
    const std::vector<std::string> addresses { "127.0.0.1:" + std::to_string(listener.port()), "127.0.0.1:" + std::to_string(closed.port()) };
    const auto fleet = queryFleetStatus(addresses, 500ms);
    CHECK(fleet.newestRevision() == 7);
    CHECK(fleet.countUpToDate(7) == 1);
    CHECK(fleet.outdatedRouters(8).size() == 2);
    CHECK(fleet.accountsInUse() == std::set { AccountId("a") });
    CHECK(error(explainRequest(addresses, "r1", 500ms)).kind == ErrorKind::NotFound);
}
