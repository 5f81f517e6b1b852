#include <borageslip_scheduling/borageslip_scheduling.h>

#include <catch2/catch.hpp>
#include <list>
#include <random>

using namespace borageslip;

// Guards against connections that are each within their bound and together take the process over its memory limit.
TEST_CASE("the sum of what all connections hold stays within twice the memory budget", "[memory]")
{
    constexpr size_t limit = 1000 * 1000;
    constexpr size_t step = 1000;
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        const auto number = [&](size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(random); };
        MemoryBudget budget(limit);
        std::list<std::pair<MemoryBudget::Share, size_t>> shares;
        for (int i = 0; i < 300; ++i)
            shares.emplace_back(std::piecewise_construct, std::forward_as_tuple(budget), std::forward_as_tuple(0));
        for (int round = 0; round < 500; ++round) {
            for (auto& [share, bytes] : shares) {
                bytes += number(4) * step;
                if (!share.hold(bytes)) {
                    bytes = 0;
                    share.hold(bytes);
                }
                REQUIRE(budget.heldBytes() <= 2 * limit + 4 * step);
            }
        }
        shares.clear();
        CHECK(budget.heldBytes() == 0);
    }
}

TEST_CASE("a connection that holds little is served beside connections that use up the memory budget", "[memory]")
{
    MemoryBudget budget(1000);
    MemoryBudget::Share large(budget);
    MemoryBudget::Share small(budget);
    CHECK(large.hold(1000));
    CHECK(small.hold(400));
    CHECK_FALSE(large.hold(1100));
    CHECK(large.hold(0));
    CHECK(small.hold(1000));
}
