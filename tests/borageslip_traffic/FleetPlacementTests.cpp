#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr double capFactor = 2;
constexpr double capMargin = 3;
constexpr double allowedShare = 0.03;

/** What the fleet carries, and how long a message between instances takes. */
struct FleetLoad {
    size_t instances = 77;
    size_t servers = 140;
    double requestsPerSecond = 700;
    double popularShare = 0.14; ///< Of the requests, that begin with the same parts.
    double lostMessages = 0; ///< Share of the messages between instances.
    unsigned seed = 1;
};

/** Many instances that place requests at the same time, each by what it knows of the others; the servers count what they
    hold. Time is simulated; messages take 1 to 2 ms. */
class SimulatedFleet {
public:
    explicit SimulatedFleet(const FleetLoad& load)
        : m_load(load)
        , m_random(load.seed)
        , m_held(load.servers)
    {
        for (size_t i = 0; i < load.servers; ++i)
            m_hashes.push_back(hashBytes("server" + std::to_string(i)));
        for (size_t i = 0; i < load.instances; ++i) {
            m_instances.push_back(std::make_unique<Instance>(load.servers));
            scheduleReport(i, m_start + seconds(0.012 * static_cast<double>(load.instances) * uniform()));
        }
        scheduleArrival(m_start);
    }

    /** Share of the requests, of those after the first second, that reached a server over the cap on skew. */
    double shareOverCap(Duration length)
    {
        while (!m_events.empty() && m_events.begin()->first < m_start + length) {
            auto event = m_events.extract(m_events.begin());
            m_clock.set(event.key());
            event.mapped()();
        }
        REQUIRE(m_counted > 1000);
        return static_cast<double>(m_overCap) / m_counted;
    }

private:
    struct Instance {
        explicit Instance(size_t servers)
            : own(servers)
            , ofOthers(servers)
        {
        }

        PeerBoard board { 10s };
        std::vector<int> own;
        std::vector<int> ofOthers;
        uint64_t sequence = 0;
    };

    class SettableClock final : public Clock {
    public:
        TimePoint now() const override { return m_now; }
        std::chrono::system_clock::time_point wallTime() const override { return {}; }
        void set(TimePoint now) { m_now = now; }

    private:
        TimePoint m_now {};
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Duration seconds(double count) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count)); }
    Duration reportInterval() const { return 12ms * m_load.instances; }
    Duration messageTime() { return seconds(0.001 + 0.001 * uniform()); }
    void at(TimePoint time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }

    void scheduleReport(size_t sender, TimePoint time)
    {
        at(time, [this, sender] {
            auto& instance = *m_instances[sender];
            PeerReport report { "instance" + std::to_string(sender), 1, ++instance.sequence, true, {}, {} };
            for (size_t i = 0; i < m_load.servers; ++i) {
                if (instance.own[i] > 0)
                    report.uses.push_back({ m_hashes[i], static_cast<uint32_t>(instance.own[i]), 0 });
            }
            for (size_t to = 0; to < m_load.instances; ++to) {
                if (to != sender && uniform() >= m_load.lostMessages)
                    at(m_clock.now() + messageTime(), [this, to, report] { m_instances[to]->board.apply(report, m_clock.now()); });
            }
            const auto uses = instance.board.uses(m_clock.now());
            for (size_t i = 0; i < m_load.servers; ++i) {
                const auto found = uses.find(m_hashes[i]);
                instance.ofOthers[i] = found == uses.end() ? 0 : static_cast<int>(found->second.inFlight);
            }
            scheduleReport(sender, m_clock.now() + reportInterval());
        });
    }

    void scheduleArrival(TimePoint time)
    {
        at(time, [this] {
            const uint64_t prefix = uniform() < m_load.popularShare ? 1 : 2 + m_random() % 400;
            place(m_random() % m_load.instances, prefix);
            scheduleArrival(m_clock.now() + seconds(std::exponential_distribution<double>(m_load.requestsPerSecond)(m_random)));
        });
    }

    void place(size_t by, uint64_t prefix)
    {
        auto& instance = *m_instances[by];
        std::vector<ServerCandidate> candidates;
        for (size_t i = 0; i < m_load.servers; ++i)
            candidates.push_back({ m_hashes[i], instance.own[i] + instance.ofOthers[i], 24 });
        if (const auto choice = chooseServer(candidates, hashPair(7, prefix), m_random()))
            send(by, choice->index);
    }

    void send(size_t by, size_t server)
    {
        if (m_clock.now() > m_start + 1s) {
            const double mean = static_cast<double>(m_total) / static_cast<double>(m_load.servers);
            ++m_counted;
            if (m_held[server] > capFactor * mean + capMargin)
                ++m_overCap;
        }
        ++m_held[server];
        ++m_total;
        ++m_instances[by]->own[server];
        const auto work = uniform() < 0.25 ? seconds(1 + uniform()) : seconds(0.2 + 0.5 * uniform());
        at(m_clock.now() + work, [this, by, server] {
            --m_held[server];
            --m_total;
            --m_instances[by]->own[server];
        });
    }

    FleetLoad m_load;
    std::minstd_rand m_random;
    SettableClock m_clock;
    TimePoint m_start = TimePoint() + 100s;
    std::vector<uint64_t> m_hashes;
    std::vector<int> m_held; ///< Requests that each server holds.
    int m_total = 0;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::multimap<TimePoint, std::function<void()>> m_events;
    int m_counted = 0;
    int m_overCap = 0;
};

}

// Guards against a server that gets more than it has room for because many instances choose it before they hear of one
// another.
TEST_CASE("77 instances that choose at the same time keep the cap on skew", "[fleet]")
{
    const auto seed = GENERATE(1u, 2u, 3u);
    const auto popularShare = GENERATE(0.0, 0.05, 0.14);
    CAPTURE(seed, popularShare);
    FleetLoad load;
    load.seed = seed;
    load.popularShare = popularShare;
    CHECK(SimulatedFleet(load).shareOverCap(6s) <= allowedShare);
}
