#include <borageslip_core/time/ManualClock.h>
#include <borageslip_routing/borageslip_routing.h>
#include <catch2/catch.hpp>
#include <random>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

/** The instances that serve an account, and the account's home. They exchange reports and shares once per second and
    when the demand changes. */
struct Fleet {
    explicit Fleet(int instances, double rate)
        : calculator({ rate })
    {
        for (int i = 0; i < instances; ++i) {
            members.emplace_back("member-" + std::to_string(i));
            limiters.emplace_back(AccountLimiter::Settings { rate, 500ms, 3s, instances }, clock.now());
        }
        calculator.setMembers(members);
    }

    /** Runs one second with the given requests per second at each instance and returns how many were admitted. */
    int runSecond(const std::vector<int>& demand, const std::vector<bool>& isReportLost)
    {
        int admitted = 0;
        for (int tick = 0; tick < 1000; ++tick) {
            clock.advance(1ms);
            for (size_t i = 0; i < limiters.size(); ++i) {
                // Spreads the demand evenly over the second.
                const int due = demand[i] * (tick + 1) / 1000 - demand[i] * tick / 1000;
                for (int request = 0; request < due; ++request)
                    admitted += isOk(limiters[i].tryAcquire(1, clock.now())) ? 1 : 0;
                if (limiters[i].isReportDue(clock.now())) {
                    report(i, isReportLost);
                    distribute(isReportLost);
                }
            }
        }
        for (size_t i = 0; i < limiters.size(); ++i)
            report(i, isReportLost);
        distribute(isReportLost);
        return admitted;
    }

    void report(size_t i, const std::vector<bool>& isReportLost)
    {
        const double rate = limiters[i].takeDemandRate(clock.now());
        if (!isReportLost[i])
            calculator.report(members[i], rate, clock.now());
    }

    void distribute(const std::vector<bool>& isReportLost)
    {
        const auto shares = calculator.shares(clock.now());
        double sum = 0;
        for (size_t i = 0; i < shares.size(); ++i) {
            sum += shares[i].share;
            if (!isReportLost[i])
                limiters[i].setShare(shares[i].share, clock.now());
        }
        CHECK(sum == Approx(1));
    }

    ManualClock clock;
    std::vector<MemberId> members;
    std::vector<AccountLimiter> limiters;
    AccountShareCalculator calculator;
};

}

TEST_CASE("the fleet-wide rate holds within 10% while demand moves between daemons")
{
    const int instances = GENERATE(2, 4, 12, 40);
    constexpr double rate = 400;
    Fleet fleet(instances, rate);
    std::mt19937_64 generator(7);
    const std::vector<bool> noLoss(static_cast<size_t>(instances), false);
    std::vector<int> demand(static_cast<size_t>(instances));
    double admitted = 0;
    for (int second = 0; second < 60; ++second) {
        // Demand of three times the rate, on one instance or on several; it moves every 10 s.
        if (second % 10 == 0) {
            std::fill(demand.begin(), demand.end(), 0);
            for (int part = 0; part < 4; ++part)
                demand[generator() % demand.size()] += static_cast<int>(rate * 0.75);
        }
        admitted += fleet.runSecond(demand, noLoss);
    }
    CHECK(admitted / 60 <= 1.1 * rate);
    CHECK(admitted / 60 >= 0.9 * rate);
}

TEST_CASE("a daemon whose usage reports are lost falls back to an even share, and the fleet-wide rate holds within 10%")
{
    Fleet fleet(4, 400);
    const std::vector<int> demand { 1000, 0, 0, 1000 };
    for (int second = 0; second < 5; ++second)
        fleet.runSecond(demand, { false, false, false, false });
    CHECK(fleet.limiters[0].rate(fleet.clock.now()) > 150);
    double admitted = 0;
    for (int second = 0; second < 30; ++second)
        admitted += fleet.runSecond(demand, { true, false, false, false });
    CHECK(fleet.limiters[0].rate(fleet.clock.now()) == Approx(100));
    CHECK(admitted / 30 <= 440);
    CHECK(admitted / 30 >= 360);
}

TEST_CASE("an account that uses one daemon of nine gets its whole rate although the others never report")
{
    ManualClock clock;
    AccountShareCalculator calculator({ 100 });
    std::vector<MemberId> members;
    members.reserve(9);
    for (int i = 0; i < 9; ++i)
        members.emplace_back("member-" + std::to_string(i));
    calculator.setMembers(members);
    calculator.report(members[0], 300, clock.now());
    CHECK(calculator.shares(clock.now())[0].share >= 0.9);
}

TEST_CASE("a rate-limited request is told when to retry, and one larger than the bucket can be admitted")
{
    ManualClock clock;
    AccountLimiter limiter({ 10, 1s, 3s, 1 }, clock.now());
    CHECK(isOk(limiter.tryAcquire(25, clock.now())));
    const auto refused = limiter.tryAcquire(1, clock.now());
    REQUIRE_FALSE(isOk(refused));
    CHECK(error(refused).kind == ErrorKind::RateLimited);
    CHECK(*error(refused).retryAfter >= 1600ms);
    clock.advance(*error(refused).retryAfter);
    CHECK(isOk(limiter.tryAcquire(1, clock.now())));
}
