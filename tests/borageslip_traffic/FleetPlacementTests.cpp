#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr double capFactor = 2;
constexpr double allowedOverMean = 3;
constexpr double allowedShare = 0.03;

/** Size and load of a simulated fleet. */
struct FleetLoad {
    size_t instances = 77;
    size_t servers = 140;
    double requestsPerSecond = 700;
    double popularShare = 0.14; ///< Share of the requests that have the same prompt prefix.
    double lostMessages = 0; ///< Share of the messages between instances that are lost.
    unsigned seed = 1;
};

/** Simulates many instances that choose servers concurrently, each from its own view of the others' load, and counts
    the actual requests in flight at the servers. Time is simulated; messages between instances take 1 to 2 ms. */
class SimulatedFleet {
public:
    explicit SimulatedFleet(const FleetLoad& load)
        : m_load(load)
        , m_random(load.seed)
        , m_held(load.servers)
    {
        for (size_t i = 0; i < load.servers; ++i)
            m_positions[m_hashes.emplace_back(hashBytes("server" + std::to_string(i)))] = i;
        for (size_t i = 0; i < load.instances; ++i)
            m_names.push_back("instance" + std::to_string(i));
        for (size_t i = 0; i < load.servers; ++i)
            m_coordinators.push_back(*coordinatorOf(m_hashes[i], std::vector<std::string_view>(m_names.begin(), m_names.end())));
        for (size_t i = 0; i < load.instances; ++i) {
            m_instances.push_back(std::make_unique<Instance>(load.servers));
            scheduleReport(i, m_start + seconds(0.012 * static_cast<double>(load.instances) * uniform()));
        }
        scheduleArrival(m_start);
    }

    /** Runs the simulation and returns the share of requests, sent after the first second, that reached a server over
        the load cap. */
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

        PeerReportTable reports { 10s };
        std::vector<int> own;
        std::vector<int> ofOthers;
        uint64_t sequence = 0;

        void updateOthers(size_t position, uint64_t server, TimePoint now) { ofOthers[position] = static_cast<int>(reports.totalUsage(server, now).inFlight); }
        int held(size_t position) const { return own[position] + ofOthers[position]; }
        double mean() const
        {
            int total = 0;
            for (size_t i = 0; i < own.size(); ++i)
                total += held(i);
            return static_cast<double>(total) / static_cast<double>(own.size());
        }
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
            PeerReport report { m_names[sender], 1, ++instance.sequence, true, {}, {} };
            for (size_t i = 0; i < m_load.servers; ++i) {
                if (instance.own[i] > 0)
                    report.usages.push_back({ m_hashes[i], static_cast<uint32_t>(instance.own[i]), 0 });
            }
            for (size_t to = 0; to < m_load.instances; ++to) {
                if (to != sender && uniform() >= m_load.lostMessages)
                    at(m_clock.now() + messageTime(), [this, to, report] {
                        for (const auto server : m_instances[to]->reports.apply(report, m_clock.now()).servers)
                            m_instances[to]->updateOthers(m_positions.at(server), server, m_clock.now());
                    });
            }
            scheduleReport(sender, m_clock.now() + reportInterval());
        });
    }

    void scheduleArrival(TimePoint time)
    {
        at(time, [this] {
            const uint64_t prefix = uniform() < m_load.popularShare ? 1 : 2 + m_random() % 400;
            place(m_random() % m_load.instances, prefix, {});
            scheduleArrival(m_clock.now() + seconds(std::exponential_distribution<double>(m_load.requestsPerSecond)(m_random)));
        });
    }

    /** Places one request: chooses a server, requests a reservation from its coordinator and chooses another server
        when the reservation is denied. */
    void place(size_t by, uint64_t prefix, std::vector<size_t> denied)
    {
        auto& instance = *m_instances[by];
        std::vector<ServerCandidate> candidates;
        for (size_t i = 0; i < m_load.servers; ++i) {
            const bool isDenied = std::find(denied.begin(), denied.end(), i) != denied.end();
            candidates.push_back({ m_hashes[i], instance.held(i), 24, 0, isDenied });
        }
        const auto choice = chooseServer(candidates, hashPair(7, prefix), m_random());
        if (!choice)
            return;
        const auto server = choice->index;
        ++instance.own[server];
        const auto coordinator = m_coordinators[server];
        if (coordinator == by)
            return send(by, server);
        auto message = usageMessage(by, server);
        message.isRequest = true;
        const bool isLost = uniform() < m_load.lostMessages;
        if (isLost)
            return at(m_clock.now() + 40ms, [this, by, server] { send(by, server); });
        at(m_clock.now() + messageTime(), [=, this] {
            const bool isGranted = decide(coordinator, server, message);
            at(m_clock.now() + messageTime(), [=, this] {
                if (isGranted)
                    return send(by, server);
                --m_instances[by]->own[server];
                auto all = denied;
                all.push_back(server);
                place(by, prefix, std::move(all));
            });
        });
    }

    ReservationMessage usageMessage(size_t by, size_t server)
    {
        auto& instance = *m_instances[by];
        return { m_names[by], 1, ++instance.sequence, { m_hashes[server], static_cast<uint32_t>(instance.own[server]), 0 } };
    }

    bool decide(size_t coordinator, size_t server, const ReservationMessage& message)
    {
        auto& instance = *m_instances[coordinator];
        auto withoutReservation = message;
        --withoutReservation.usage.inFlight;
        instance.reports.applyUsage(withoutReservation, m_clock.now());
        instance.updateOthers(server, m_hashes[server], m_clock.now());
        const ReservationContext context { { m_hashes[server], static_cast<uint32_t>(instance.held(server)), 0 }, instance.mean() };
        const bool isGranted = canGrantReservation(context, { 24, 0 }, capFactor);
        if (isGranted)
            instance.reports.setUsage(message.sender, message.usage);
        instance.updateOthers(server, m_hashes[server], m_clock.now());
        return isGranted;
    }

    void notifyCoordinator(size_t by, size_t server)
    {
        const auto coordinator = m_coordinators[server];
        if (coordinator == by || uniform() < m_load.lostMessages)
            return;
        at(m_clock.now() + messageTime(), [=, this, message = usageMessage(by, server)] {
            m_instances[coordinator]->reports.applyUsage(message, m_clock.now());
            m_instances[coordinator]->updateOthers(server, m_hashes[server], m_clock.now());
        });
    }

    void send(size_t by, size_t server)
    {
        if (m_clock.now() > m_start + 1s) {
            const double mean = static_cast<double>(m_total) / static_cast<double>(m_load.servers);
            ++m_counted;
            if (m_held[server] > capFactor * mean + allowedOverMean)
                ++m_overCap;
        }
        ++m_held[server];
        ++m_total;
        const auto work = uniform() < 0.25 ? seconds(1 + uniform()) : seconds(0.2 + 0.5 * uniform());
        at(m_clock.now() + work, [this, by, server] {
            --m_held[server];
            --m_total;
            --m_instances[by]->own[server];
            notifyCoordinator(by, server);
        });
    }

    FleetLoad m_load;
    std::minstd_rand m_random;
    SettableClock m_clock;
    TimePoint m_start = TimePoint() + 100s;
    std::vector<uint64_t> m_hashes;
    std::map<uint64_t, size_t> m_positions; ///< Positions of the servers by hash.
    std::vector<std::string> m_names;
    std::vector<size_t> m_coordinators; ///< Position of each server's coordinator among the instances.
    std::vector<int> m_held; ///< Actual requests in flight at each server.
    int m_total = 0;
    std::vector<std::unique_ptr<Instance>> m_instances;
    std::multimap<TimePoint, std::function<void()>> m_events;
    int m_counted = 0;
    int m_overCap = 0;
};

}

// Guards against overload of a server that many instances choose before they receive each other's load reports.
TEST_CASE("77 instances that choose servers concurrently stay within the load cap", "[fleet]")
{
    const auto seed = GENERATE(1u, 2u, 3u);
    const auto popularShare = GENERATE(0.0, 0.05, 0.14);
    CAPTURE(seed, popularShare);
    FleetLoad load;
    load.seed = seed;
    load.popularShare = popularShare;
    CHECK(SimulatedFleet(load).shareOverCap(6s) <= allowedShare);
}

// Guards against usage totals that stay wrong for long after a reservation message was lost.
TEST_CASE("instances stay within the load cap when reservation messages are lost", "[fleet]")
{
    FleetLoad load;
    load.lostMessages = 0.03;
    CHECK(SimulatedFleet(load).shareOverCap(6s) <= allowedShare);
}

// Guards against a load cap that holds only for the number of instances of one site.
TEST_CASE("330 instances that choose servers concurrently stay within the load cap", "[fleet]")
{
    FleetLoad load;
    load.instances = 330;
    load.servers = 400;
    load.requestsPerSecond = 2000;
    CHECK(SimulatedFleet(load).shareOverCap(4s) <= allowedShare);
}
