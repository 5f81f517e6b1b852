#include <borageslip_routing/borageslip_routing.h>
#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

TEST_CASE("retries stay within the budgeted fraction of requests when every request fails")
{
    RetryBudget budget(0.1, 10);
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.recordRequest();
        while (budget.tryRetry())
            ++retries;
    }
    CHECK(retries <= 1010);
    CHECK(retries >= 1000);
}
