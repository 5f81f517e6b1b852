#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <random>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 5ms;
constexpr Duration window = 4s;
constexpr double usersFactor = 1.5; ///< Of the limit, that the users allow within a window.
constexpr double usersMargin = 5; ///< Requests that they allow beyond.
constexpr int coordinator = 0;
constexpr int successor = 1;

/** A fleet whose instances ask the coordinator of one server with a rate limit, as each of them sees it. */
class Fleet {
public:
    struct Setup {
        int instances = 0;
        double limit = 0;
        double demand = 0; ///< Requests a second of all instances, as a multiple of the limit.
        /** The instance that an asker takes for the coordinator; nothing when it does not answer the asker. */
        std::function<std::optional<int>(int asker, Duration at)> coordinatorOf = [](int, Duration) { return coordinator; };
    };

    explicit Fleet(Setup setup)
        : m_setup(std::move(setup))
        , m_allowances(static_cast<size_t>(m_setup.instances))
    {
    }

    void run(Duration time)
    {
        const TimePoint begin { 1000s };
        std::bernoulli_distribution arrives(std::min(1.0, m_setup.demand * m_setup.limit * std::chrono::duration<double>(step).count()));
        std::uniform_int_distribution<int> asker(0, m_setup.instances - 1);
        std::uniform_int_distribution<uint64_t> prefix(0, 8000);
        for (auto now = begin; now < begin + time; now += step) {
            if ((now - begin) % 1s == 0s)
                tellLimit(now);
            if (arrives(m_random))
                request(asker(m_random), prefix(m_random), now, now - begin);
        }
        m_seconds = std::chrono::duration<double>(time).count();
    }

    size_t mostWithinWindow() const
    {
        size_t most = 0;
        std::deque<TimePoint> recent;
        for (const auto sentAt : m_sent) {
            recent.push_back(sentAt);
            while (sentAt - recent.front() >= window)
                recent.pop_front();
            most = std::max(most, recent.size());
        }
        return most;
    }

    double allowed() const { return usersFactor * m_setup.limit * std::chrono::duration<double>(window).count() + usersMargin; }
    double usedShare() const { return static_cast<double>(m_sent.size()) / (m_setup.limit * m_seconds); }

private:
    void tellLimit(TimePoint now)
    {
        for (auto& allowance : m_allowances)
            allowance.recordRateLimit({ m_setup.limit, now });
    }

    void request(int asker, uint64_t prefixTokens, TimePoint now, Duration at)
    {
        const auto asked = m_setup.coordinatorOf(asker, at);
        if (!asked)
            return;
        const auto ownView = m_setup.coordinatorOf(*asked, at);
        auto& allowance = m_allowances.at(static_cast<size_t>(*asked));
        allowance.recordDemand(prefixTokens);
        if (!allowance.hasRate(ownView == asked ? RequestRate::Share::Coordinator : RequestRate::Share::Other, prefixTokens, now))
            return;
        allowance.takeRate(now);
        m_sent.push_back(now);
    }

    Setup m_setup;
    std::vector<SendAllowance> m_allowances;
    std::vector<TimePoint> m_sent;
    std::minstd_rand m_random { 1 };
    double m_seconds = 0;
};

constexpr std::array fleetSizes { 9, 77, 295 };
constexpr std::array limits { 0.3, 1.0, 2.4, 5.7, 20.0 };

void forEachFleet(const std::function<void(int instances, double limit)>& check)
{
    for (const int instances : fleetSizes) {
        for (const double limit : limits)
            check(instances, limit);
    }
}

}

// Guards against a server that gets more than the rate limit that it names from all instances together (LIMIT), and against
// a limit that is not used although there is demand.
TEST_CASE("a fleet keeps the rate limit of a server and uses it, at 9, 77 and 295 instances")
{
    forEachFleet([](int instances, double limit) {
        Fleet fleet({ instances, limit, 3 });
        fleet.run(600s);
        INFO(instances << " instances, limit " << limit);
        CHECK(static_cast<double>(fleet.mostWithinWindow()) <= limit * 4 + 4);
        CHECK(fleet.usedShare() >= 0.95);
    });
}

TEST_CASE("a fleet keeps the rate limit of a server while some instances ask another one than its coordinator")
{
    forEachFleet([](int instances, double limit) {
        // For good: half of the askers do not reach the coordinator, and ask one that still takes it for the coordinator.
        Fleet fleet({ instances, limit, 5, [](int asker, Duration) { return asker > successor && asker % 2 == 1 ? successor : coordinator; } });
        fleet.run(120s);
        INFO(instances << " instances, limit " << limit);
        CHECK(static_cast<double>(fleet.mostWithinWindow()) <= fleet.allowed());
    });
}

TEST_CASE("a fleet keeps the rate limit of a server while its coordinator is lost and comes back")
{
    forEachFleet([](int instances, double limit) {
        static constexpr Duration lostAt = 30s;
        static constexpr Duration backAt = 40s;
        const auto coordinatorOf = [](int asker, Duration at) -> std::optional<int> {
            // The askers notice the loss after two requests without a reply, each at a time of its own.
            const auto noticedAt = lostAt + 80ms + asker % 10 * 50ms;
            if (at < lostAt || at >= backAt + asker % 10 * 200ms)
                return coordinator;
            return at < noticedAt ? std::nullopt : std::optional(successor);
        };
        Fleet fleet({ instances, limit, 5, coordinatorOf });
        fleet.run(60s);
        INFO(instances << " instances, limit " << limit);
        CHECK(static_cast<double>(fleet.mostWithinWindow()) <= fleet.allowed());
        CHECK(fleet.usedShare() >= 0.9);
    });
}

TEST_CASE("requests with long prefixes stay at a server with a rate limit")
{
    SendAllowance allowance;
    const TimePoint begin { 1000s };
    allowance.recordRateLimit({ 2, begin });
    int longRequests = 0;
    int shortRequests = 0;
    for (auto now = begin; now < begin + 60s; now += 250ms) {
        allowance.recordRateLimit({ 2, now });
        for (const uint64_t prefix : { 600, 8600 }) {
            allowance.recordDemand(prefix);
            if (!allowance.hasRate(RequestRate::Share::Coordinator, prefix, now))
                continue;
            allowance.takeRate(now);
            ++(prefix == 600 ? shortRequests : longRequests);
        }
    }
    CHECK(longRequests >= 4 * std::max(1, shortRequests));
}

TEST_CASE("the newest notice of a rate limit counts, whichever instance has received it")
{
    SendAllowance allowance;
    const TimePoint begin { 1000s };
    CHECK(!allowance.rateLimit(begin));
    CHECK(allowance.recordRateLimit({ 3, begin }));
    CHECK(!allowance.recordRateLimit({ 5, begin - 1s }));
    CHECK(allowance.rateLimit(begin) == 3);
    CHECK(!allowance.recordNoRateLimit(begin - 10ms, begin + 10ms)); // Sent before the limit was named.
    CHECK(allowance.rateLimit(begin + 10ms) == 3);
    CHECK(allowance.recordRateLimit({ 4, begin + 20ms }));
    CHECK(allowance.recordNoRateLimit(begin + 30ms, begin + 40ms));
    CHECK(!allowance.rateLimit(begin + 40ms));
    CHECK(!allowance.recordRateLimit({ 4, begin + 20ms })); // Told late by another instance.
    CHECK(allowance.recordRateLimit({ 4, begin + 1s }));
    CHECK(allowance.rateLimit(begin + 20s));
    CHECK(!allowance.rateLimit(begin + 60s)); // Nothing has named it for long.
}

TEST_CASE("a rate limit and a version in force survive their messages, and malformed ones are rejected")
{
    const RateLimitsNotice notice { "entry-1", { { 77, 2.4, 120ms }, { 78, 0, 0ms } } };
    const auto decoded = decodePeerMessage(encodeRateLimitsNotice(notice));
    REQUIRE(isOk(decoded));
    CHECK(std::get<RateLimitsNotice>(value(decoded)) == notice);
    const ConfigurationNotice configuration { "entry-1", 12 };
    CHECK(std::get<ConfigurationNotice>(value(decodePeerMessage(encodeConfigurationNotice(configuration)))) == configuration);
    const ConfigurationNotice evacuation { "entry-1", 12, 345 };
    CHECK(std::get<ConfigurationNotice>(value(decodePeerMessage(encodeConfigurationNotice(evacuation)))) == evacuation);
    PeerReport report { "entry-1", 5, 6, true, { { 77, 1, 2 } }, {}, {}, notice.limits, 12 };
    CHECK(value(decodePeerReport(encodePeerReport(report))) == report);
    CHECK(!isOk(decodePeerMessage(encodeRateLimitsNotice({ "entry-1", { { 77, -1, 0ms } } }))));
}

TEST_CASE("a service queue keeps the rate limits of its servers and tells callers when to come back")
{
    ServiceQueue queue(2);
    const TimePoint begin { 1000s };
    const std::vector<QueuedServer> servers { { 1, 6, 1, false, 0, false, 2.5 }, { 2, 6, 1, false, 0, false, 2.5 } };
    std::vector<TimePoint> granted;
    size_t rejected = 0;
    uint64_t sequence = 0;
    ServiceState state { "entry-1", 1, 0, "plain", true };
    uint64_t number = 0;
    for (auto now = begin; now < begin + 20s; now += 20ms) {
        state.sequence = ++sequence;
        state.held.clear(); // Each request ends at once.
        state.waiting.push_back({ ++number, {}, 0, 150ms, 500ms, {} });
        queue.apply(state, 0, now);
        for (const auto& decision : queue.decide(servers, now)) {
            if (decision.decision.isGranted)
                granted.push_back(now);
            else
                ++rejected;
            std::erase_if(state.waiting, [&](const auto& row) { return row.number == decision.decision.number; });
        }
    }
    CHECK(granted.size() <= 2 * (2.5 * 20 + 4));
    CHECK(granted.size() >= 2 * 0.95 * 2.5 * 20);
    CHECK(rejected >= 700);
}
