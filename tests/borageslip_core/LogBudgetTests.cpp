#include <borageslip_core/borageslip_core.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

TEST_CASE("a burst of one kind of line neither fills the log nor hides another kind")
{
    ManualClock clock;
    LogBudget budget(10);
    int answered = 0;
    for (int i = 0; i < 1000; ++i)
        answered += budget.admit(Severity::Info, "answered", clock.now()) ? 1 : 0;
    CHECK(answered == 20);
    CHECK(budget.admit(Severity::Warning, "refused", clock.now()));
    CHECK(budget.takeLeftOut(clock.now()).at("answered") == 980);
    CHECK(budget.takeLeftOut(clock.now()).empty());
}

TEST_CASE("a budget fills again with time, and warnings have a larger one")
{
    ManualClock clock;
    LogBudget budget(10);
    const auto written = [&](Severity severity, std::string_view event) {
        int count = 0;
        while (budget.admit(severity, event, clock.now()))
            ++count;
        return count;
    };
    written(Severity::Info, "a");
    clock.advance(500ms);
    CHECK(written(Severity::Info, "a") == 5);
    CHECK(written(Severity::Warning, "b") == 80);
}
