#include <borageslip_daemon/entry/CallFailures.h>

#include <catch2/catch.hpp>

using namespace borageslip;

TEST_CASE("I3: a refusal after an attempt that may have run is not reported as not run")
{
    const Error refused { ErrorKind::EngineRefused, "the next engine refused" };
    const Error lost { ErrorKind::PeerConnectionLost, "the home was lost" };
    CallFailures failures;
    failures.record(refused);
    CHECK(failures.errorToReport(refused).kind == ErrorKind::EngineRefused);
    failures.record(lost);
    failures.record(refused);
    CHECK(failures.errorToReport(refused).kind == ErrorKind::PeerConnectionLost);
    CHECK(failures.errorToReport({ ErrorKind::EngineFailed, "" }).kind == ErrorKind::EngineFailed);
}
