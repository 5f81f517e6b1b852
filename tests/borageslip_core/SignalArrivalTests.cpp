#include <borageslip_core/borageslip_core.h>

#include <catch2/catch.hpp>
#include <csignal>

using namespace borageslip;

namespace {

volatile std::sig_atomic_t s_handled = 0;

void countSignal(int /*signal*/)
{
    s_handled = s_handled + 1;
}

}

TEST_CASE("the first arrival of a signal is recorded, and its handler is called", "[signal]")
{
    std::signal(SIGUSR2, countSignal);
    recordSignalArrival(SIGUSR2);
    CHECK_FALSE(signalArrival());
    const BootClock clock;
    const auto before = clock.now();
    std::raise(SIGUSR2);
    const auto after = clock.now();
    const auto arrival = signalArrival();
    REQUIRE(arrival);
    CHECK(*arrival >= before);
    CHECK(*arrival <= after);
    std::raise(SIGUSR2);
    CHECK(signalArrival() == arrival);
    CHECK(s_handled == 2);
    std::signal(SIGUSR2, SIG_DFL);
}
