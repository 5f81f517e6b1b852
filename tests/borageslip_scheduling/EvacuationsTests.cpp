#include <borageslip_scheduling/borageslip_scheduling.h>

#include <catch2/catch.hpp>

using namespace borageslip;
using namespace std::chrono_literals;
using Effect = Evacuations::Effect;

namespace {

constexpr TimePoint start { 100s };

Evacuations threeDomains()
{
    return Evacuations({ "a", "b", "c" });
}

}

// Guards against an operator's mistake that takes servers out of service, or that is applied in silence.
TEST_CASE("a name that is empty, contains a slash or is no failure domain is not evacuated", "[evacuation]")
{
    auto evacuations = threeDomains();
    CHECK(evacuations.problemOf("") == Evacuations::NameProblem::Empty);
    CHECK(evacuations.problemOf("a/b") == Evacuations::NameProblem::ContainsSlash);
    CHECK(evacuations.problemOf("d") == Evacuations::NameProblem::UnknownDomain);
    CHECK(evacuations.problemOf("a") == Evacuations::NameProblem::None);
    for (const auto* name : { "", "/", "a/", "/a", "d", "A" }) {
        CHECK(evacuations.begin(name) == Effect::None);
        CHECK(evacuations.end(name) == Effect::None);
        evacuations.scheduleEnd(name, start);
    }
    CHECK(evacuations.active().empty());
    CHECK(evacuations.endDue(start + 1s).empty());
}

// Guards against an evacuation that ends, or returns its servers as cold, because its key was written a second time.
TEST_CASE("several domains are evacuated independently, and a repeated change has no effect", "[evacuation]")
{
    auto evacuations = threeDomains();
    CHECK(evacuations.begin("a") == Effect::Begins);
    CHECK(evacuations.begin("a") == Effect::None);
    CHECK(evacuations.begin("b") == Effect::Begins);
    CHECK(evacuations.end("a") == Effect::Ends);
    CHECK(evacuations.end("a") == Effect::None);
    CHECK_FALSE(evacuations.contains("a"));
    CHECK(evacuations.contains("b"));
    CHECK(evacuations.begin("a") == Effect::Begins);
}

// Guards against an evacuation that ends because its key was missing for a moment after an outage of the store.
TEST_CASE("a scheduled end takes effect in time, unless the evacuation is begun again or has ended", "[evacuation]")
{
    auto evacuations = threeDomains();
    for (const auto* domain : { "a", "b", "c" })
        evacuations.begin(domain);
    for (const auto* domain : { "a", "b", "c" })
        evacuations.scheduleEnd(domain, start + 2s);
    evacuations.scheduleEnd("a", start + 10s); // Missing in a further read.
    CHECK(evacuations.begin("b") == Effect::None);
    CHECK(evacuations.end("c") == Effect::Ends);
    CHECK(evacuations.endDue(start + 1999ms).empty());
    CHECK(evacuations.endDue(start + 2s) == std::vector<std::string> { "a" });
    CHECK(evacuations.active() == Evacuations::DomainSet { "b" });
    CHECK(evacuations.begin("c") == Effect::Begins);
    CHECK(evacuations.endDue(start + 20s).empty());
}
