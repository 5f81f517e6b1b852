#include <borageslip_daemon/borageslip_daemon.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;

TEST_CASE("a leaving instance accepts calls until the directory responses have expired, and then aborts none")
{
    ManualClock clock;
    Lifecycle lifecycle(clock);
    CHECK_FALSE(lifecycle.isAccepting());
    lifecycle.becomeReady();
    CHECK(lifecycle.isListed());
    lifecycle.beginStop(30s);
    CHECK(lifecycle.isAccepting());
    CHECK_FALSE(lifecycle.isListed());
    clock.advance(29s);
    lifecycle.advance(0, 600s);
    CHECK(lifecycle.isAccepting());
    clock.advance(1s);
    lifecycle.advance(5, 600s);
    CHECK(lifecycle.isIn("draining"));
    clock.advance(599s);
    lifecycle.advance(1, 600s);
    CHECK(lifecycle.isIn("draining"));
    lifecycle.advance(0, 600s);
    CHECK(lifecycle.isIn("stopped"));
}

TEST_CASE("a second stop request does not shorten the first")
{
    ManualClock clock;
    Lifecycle lifecycle(clock);
    lifecycle.becomeReady();
    lifecycle.beginStop(30s);
    lifecycle.beginStop(0s);
    lifecycle.advance(0, 600s);
    CHECK(lifecycle.isIn("leaving"));
}

TEST_CASE("an instance that never became ready stops at once")
{
    ManualClock clock;
    Lifecycle lifecycle(clock);
    lifecycle.beginStop(30s);
    CHECK(lifecycle.isIn("stopped"));
    CHECK_FALSE(lifecycle.isAccepting());
}
