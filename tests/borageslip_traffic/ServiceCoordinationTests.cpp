#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

const std::string s_service = "booking";
constexpr int slots = 6;
constexpr int extraGrants = 2; ///< Requests granted beyond the slots of a server with six.
constexpr Duration objective = 300ms;
constexpr Duration timeLimit = 1500ms;

/** Size and load of a simulated fleet and its service. */
struct ServiceLoad {
    size_t instances = 9;
    size_t servers = 12;
    double utilisation = 0.75; ///< Mean rate of arrivals as a part of what the slots can do.
    double swing = 0.3; ///< The rate swings by this part of the mean.
    int burst = 3; ///< Requests that arrive at the same moment.
    Duration work = 60ms;
    Duration messageTime = 1ms; ///< Messages take between once and twice this time.
    double lostMessages = 0; ///< Share of the messages that are lost.
    unsigned seed = 1;
};

/** What became of the requests. */
struct ServiceOutcome {
    int asked = 0;
    int onTime = 0;
    int late = 0;
    int rejected = 0;
    int unanswered = 0;
    int mostAtServer = 0; ///< Greatest number of requests at one server.
    Duration longestDecision {}; ///< From a request to its slot or rejection.
    Duration longestGapInGrants {};

    double onTimeShare() const { return static_cast<double>(onTime) / asked; }
};

/** Simulates a fleet whose instances get slots of one service from its coordinator. Time is simulated. */
class SimulatedServiceFleet {
public:
    explicit SimulatedServiceFleet(const ServiceLoad& load)
        : m_load(load)
        , m_random(load.seed)
        , m_network(load.seed)
        , m_servers(load.servers)
    {
        for (size_t i = 0; i < load.servers; ++i)
            m_serverByHash[hashBytes("server" + std::to_string(i))] = i;
        for (size_t i = 0; i < load.instances; ++i)
            m_instances.push_back(std::make_unique<Instance>(*this, "instance" + std::to_string(i)));
        scheduleArrival();
    }

    void at(TimePoint time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }
    TimePoint start() const { return m_start; }

    const ServiceOutcome& run(Duration length)
    {
        while (!m_events.empty() && m_events.begin()->first < m_start + length) {
            auto event = m_events.extract(m_events.begin());
            m_clock.advance(event.key() - m_clock.now());
            event.mapped()();
        }
        return m_outcome;
    }

    /** Position of the instance that coordinates the service when all instances are reachable. */
    size_t firstCoordinator() const { return position(*m_instances.front()->rank({})); }

    void kill(size_t instance)
    {
        m_instances[instance]->isUp = false;
        m_instances[instance]->tickets.clear();
    }

    /** Stops an instance for a while. Messages to it arrive when it continues. */
    void freeze(size_t instance, Duration length)
    {
        m_instances[instance]->frozenUntil = m_clock.now() + length;
    }

    /** Takes an instance out of coordination as a planned stop does, of which all instances learn. */
    void drain(size_t instance)
    {
        for (auto& other : m_instances)
            other->draining.insert(m_instances[instance]->name);
    }

    /** Makes each of the first instances take all others for unusable, so that it coordinates the service itself. */
    void disagree(size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            for (const auto& other : m_instances) {
                if (other->name != m_instances[i]->name)
                    m_instances[i]->draining.insert(other->name);
            }
        }
    }

    int messageCount() const { return m_messageCount; }

    void stopArrivals() { m_hasArrivals = false; }

    /** Slots that coordinators count as held. */
    int heldAtCoordinators() const
    {
        int waiting = 0;
        for (const auto& instance : m_instances)
            waiting += instance->isUp ? static_cast<int>(instance->coordination.waitingCount()) : 0;
        return waiting;
    }

    int requestsAtServers() const
    {
        int total = 0;
        for (const auto& server : m_servers)
            total += server.running + static_cast<int>(server.queue.size());
        return total;
    }

private:
    struct Server {
        int running = 0;
        std::deque<std::function<void()>> queue {};
    };

    struct Instance final : CoordinationHost {
        Instance(SimulatedServiceFleet& owner, std::string ownName)
            : fleet(owner)
            , name(std::move(ownName))
            , coordination(owner.m_clock, *this, name, 1, 2)
        {
        }

        std::optional<std::string> rank(const std::set<std::string>& excluded) const
        {
            std::optional<std::string> best;
            uint64_t bestScore = 0;
            for (const auto& other : fleet.m_instances) {
                const auto score = hashPair(hashBytes(s_service), hashBytes(other->name));
                if (!excluded.contains(other->name) && !draining.contains(other->name) && score > bestScore) {
                    best = other->name;
                    bestScore = score;
                }
            }
            return best;
        }

        std::optional<std::string> serviceCoordinator(std::string_view) const override { return rank(silent); }
        bool isUsable(std::string_view other) const override { return !silent.contains(std::string(other)) && !draining.contains(std::string(other)); }
        void recordSilence(std::string_view other) override { silent.emplace(other); }
        void sendTo(std::string_view other, std::span<const uint8_t> bytes) override { fleet.deliver(name, fleet.position(other), { bytes.begin(), bytes.end() }); }
        void sendToAll(std::span<const uint8_t> bytes) override
        {
            for (const auto& other : fleet.m_instances) {
                if (other->name != name)
                    sendTo(other->name, bytes);
            }
        }
        uint64_t failureDomainOf(std::string_view) const override { return 0; }
        std::vector<QueuedServer> serversOf(std::string_view) const override
        {
            std::vector<QueuedServer> servers;
            for (const auto& [hash, index] : fleet.m_serverByHash)
                servers.push_back({ hash, slots, 1, false, 0 });
            return servers;
        }
        void recordGrant(uint64_t) override { }
        std::vector<uint64_t> ejectedServersOf(std::string_view) const override { return {}; }
        void schedulePoll() override { fleet.schedulePoll(*this, fleet.m_clock.now()); }

        SimulatedServiceFleet& fleet;
        std::string name;
        std::set<std::string> silent {};
        std::set<std::string> draining {};
        bool isUp = true;
        TimePoint frozenUntil {};
        TimePoint pollAt {};
        ServiceCoordination coordination;
        std::map<uint64_t, std::unique_ptr<SlotTicket>> tickets {};
    };

    size_t position(std::string_view name) const
    {
        return static_cast<size_t>(std::stoul(std::string(name.substr(std::string_view("instance").size()))));
    }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_network); }
    Duration seconds(double count) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count)); }

    void schedulePoll(Instance& instance, TimePoint time)
    {
        if (instance.pollAt != TimePoint() && instance.pollAt <= time)
            return;
        instance.pollAt = time;
        at(time, [this, &instance, time] {
            if (instance.pollAt != time || !instance.isUp)
                return;
            instance.pollAt = {};
            if (m_clock.now() < instance.frozenUntil)
                return schedulePoll(instance, instance.frozenUntil);
            instance.coordination.poll();
            if (const auto next = instance.coordination.nextPoll())
                schedulePoll(instance, std::max(*next, m_clock.now() + 100us));
        });
    }

    void deliver(const std::string& from, size_t to, std::vector<uint8_t> bytes)
    {
        ++m_messageCount;
        if (uniform() < m_load.lostMessages)
            return;
        const auto delay = seconds(std::chrono::duration<double>(m_load.messageTime).count() * (1 + uniform()));
        at(std::max(m_clock.now() + delay, m_instances[to]->frozenUntil), [this, from, to, bytes = std::move(bytes)] { receive(from, to, bytes); });
    }

    void receive(const std::string& from, size_t to, const std::vector<uint8_t>& bytes)
    {
        auto& instance = *m_instances[to];
        if (!instance.isUp)
            return;
        instance.silent.erase(from);
        const auto message = value(decodePeerMessage(bytes));
        if (const auto* state = std::get_if<ServiceState>(&message))
            instance.coordination.receive(*state);
        else if (const auto* reply = std::get_if<ServiceDecisions>(&message))
            instance.coordination.receive(*reply);
        else
            instance.coordination.receive(std::get<CoordinatorNotice>(message));
        if (const auto next = instance.coordination.nextPoll())
            schedulePoll(instance, std::max(*next, m_clock.now()));
    }

    void scheduleArrival()
    {
        const double slotRate = static_cast<double>(m_load.servers) * slots / std::chrono::duration<double>(m_load.work).count();
        const double phase = std::chrono::duration<double>(m_clock.now() - m_start).count() / 4 * 6.283;
        const double rate = m_load.utilisation * slotRate * (1 + m_load.swing * std::sin(phase)) / m_load.burst;
        at(m_clock.now() + seconds(std::exponential_distribution<double>(rate)(m_random)), [this] {
            if (!m_hasArrivals)
                return;
            for (int i = 0; i < m_load.burst; ++i)
                ask(*m_instances[m_random() % m_instances.size()]);
            scheduleArrival();
        });
    }

    void ask(Instance& instance)
    {
        const auto id = ++m_lastId;
        const double workFactor = std::exponential_distribution<double>(1)(m_random);
        if (!instance.isUp || m_clock.now() < instance.frozenUntil)
            return;
        ++m_outcome.asked;
        const auto now = m_clock.now();
        const auto limits = startLimits(now, now + timeLimit, objective, m_load.work, ResponseShape::Whole);
        SlotDemand demand { s_service, {}, id % 10, limits.onTimeUntil, limits.startUntil, {} };
        auto& ticket = instance.tickets[id];
        ticket = instance.coordination.requestSlot(demand, [this, &instance, id, now, workFactor] {
            at(m_clock.now(), [this, &instance, id, now, workFactor] { act(instance, id, now, workFactor); });
        });
        if (ticket->outcome() == SlotTicket::Outcome::Rejected)
            act(instance, id, now, workFactor);
    }

    void act(Instance& instance, uint64_t id, TimePoint askedAt, double workFactor)
    {
        const auto found = instance.tickets.find(id);
        if (found == instance.tickets.end())
            return;
        m_outcome.longestDecision = std::max(m_outcome.longestDecision, m_clock.now() - askedAt);
        const auto outcome = found->second->outcome();
        if (outcome == SlotTicket::Outcome::Rejected) {
            ++m_outcome.rejected;
            instance.tickets.erase(found);
            return;
        }
        auto server = found->second->server();
        if (outcome == SlotTicket::Outcome::Unanswered) {
            ++m_outcome.unanswered;
            server = std::next(m_serverByHash.begin(), static_cast<int>(m_network() % m_serverByHash.size()))->first;
            found->second->useWithoutGrant(server);
        } else {
            if (m_lastGrant != TimePoint())
                m_outcome.longestGapInGrants = std::max(m_outcome.longestGapInGrants, m_clock.now() - m_lastGrant);
            m_lastGrant = m_clock.now();
        }
        at(m_clock.now() + m_load.messageTime, [this, &instance, id, askedAt, server, workFactor] {
            auto& target = m_servers[m_serverByHash.at(server)];
            auto work = [this, &instance, id, askedAt, &target, workFactor] { begin(instance, id, askedAt, target, workFactor); };
            if (target.running < slots)
                work();
            else
                target.queue.emplace_back(std::move(work));
            m_outcome.mostAtServer = std::max(m_outcome.mostAtServer, target.running + static_cast<int>(target.queue.size()));
        });
    }

    void begin(Instance& instance, uint64_t id, TimePoint askedAt, Server& server, double workFactor)
    {
        ++server.running;
        at(m_clock.now() + seconds(std::chrono::duration<double>(m_load.work).count() * workFactor), [this, &instance, id, askedAt, &server] {
            --server.running;
            if (!server.queue.empty()) {
                const auto next = std::move(server.queue.front());
                server.queue.pop_front();
                next();
            }
            at(m_clock.now() + m_load.messageTime, [this, &instance, id, askedAt] {
                if (instance.tickets.erase(id) > 0)
                    ++(m_clock.now() - askedAt <= objective ? m_outcome.onTime : m_outcome.late);
            });
        });
    }

    ServiceLoad m_load;
    std::minstd_rand m_random; ///< Of the requests; fleets of all sizes get the same ones.
    std::minstd_rand m_network;
    ManualClock m_clock;
    TimePoint m_start = m_clock.now();
    TimePoint m_lastGrant {};
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<uint64_t, size_t> m_serverByHash;
    std::vector<Server> m_servers;
    std::vector<std::unique_ptr<Instance>> m_instances;
    ServiceOutcome m_outcome;
    uint64_t m_lastId = 0;
    int m_messageCount = 0;
    bool m_hasArrivals = true;
};

/** Share on time of one queue that knows all slots without delay. */
double idealShare(ServiceLoad load)
{
    load.instances = 1;
    load.messageTime = 10us;
    return SimulatedServiceFleet(load).run(8s).onTimeShare();
}

}

// Guards against a small service that serves less the more instances send to it, although its slots are the same.
TEST_CASE("a service serves nearly as much with many instances as with one queue", "[service]")
{
    ServiceLoad load;
    load.utilisation = GENERATE(0.5, 0.75, 0.95);
    load.instances = GENERATE(size_t(9), size_t(89), size_t(330));
    CAPTURE(load.utilisation, load.instances);
    const auto outcome = SimulatedServiceFleet(load).run(8s);
    CAPTURE(outcome.asked, outcome.late, outcome.rejected, outcome.unanswered);
    CHECK(outcome.onTimeShare() >= idealShare(load) - 0.02);
    CHECK(outcome.mostAtServer <= slots + extraGrants);
    CHECK(outcome.unanswered == 0);
}

// Guards against slots that idle under overload, and against requests that wait for nothing.
TEST_CASE("an overloaded service works at its capacity and rejects the rest early", "[service]")
{
    ServiceLoad load;
    load.instances = 89;
    load.utilisation = 1.5;
    const auto outcome = SimulatedServiceFleet(load).run(8s);
    const double capacity = 1 / load.utilisation;
    CHECK((outcome.onTime + outcome.late) >= 0.93 * capacity * outcome.asked);
    CHECK(outcome.onTime >= 0.8 * capacity * outcome.asked);
    CHECK(outcome.longestDecision <= timeLimit / 2 + 20ms);
}

// Guards against slots that are lost, or granted twice, when messages are lost.
TEST_CASE("lost messages cost a service little", "[service]")
{
    ServiceLoad load;
    load.instances = 89;
    load.lostMessages = 0.03;
    SimulatedServiceFleet fleet(load);
    const auto outcome = fleet.run(8s);
    CAPTURE(outcome.asked, outcome.late, outcome.rejected, outcome.unanswered);
    CHECK(outcome.onTimeShare() >= idealShare(load) - 0.05);
    CHECK(outcome.mostAtServer <= slots + extraGrants);
}

// Guards against callers that wait for a dead coordinator, and against a successor that grants slots in use.
TEST_CASE("a killed coordinator is replaced within a few replies", "[service]")
{
    ServiceLoad load;
    load.instances = GENERATE(size_t(9), size_t(89), size_t(330));
    SimulatedServiceFleet fleet(load);
    fleet.at(fleet.start() + 2s, [&fleet] { fleet.kill(fleet.firstCoordinator()); });
    const auto outcome = fleet.run(6s);
    CAPTURE(load.instances, outcome.asked, outcome.late, outcome.rejected, outcome.unanswered);
    WARN("coordinator killed, " << load.instances << " instances: longest gap in grants " << std::chrono::duration_cast<std::chrono::milliseconds>(outcome.longestGapInGrants).count() << " ms, longest decision " << std::chrono::duration_cast<std::chrono::milliseconds>(outcome.longestDecision).count() << " ms, sent without an answer " << outcome.unanswered);
    CHECK(outcome.longestGapInGrants <= 250ms);
    CHECK(outcome.mostAtServer <= slots + extraGrants + 2);
}

// Guards against two instances that both grant the slots of a service, after a pause of one of them.
TEST_CASE("a coordinator that was frozen and continues does not grant slots in use", "[service]")
{
    ServiceLoad load;
    load.instances = 89;
    load.seed = GENERATE(1u, 2u, 3u);
    SimulatedServiceFleet fleet(load);
    fleet.at(fleet.start() + 2s, [&fleet] { fleet.freeze(fleet.firstCoordinator(), 1500ms); });
    const auto outcome = fleet.run(6s);
    CAPTURE(load.seed, outcome.asked, outcome.late, outcome.rejected, outcome.unanswered);
    CHECK(outcome.longestGapInGrants <= 250ms);
    CHECK(outcome.mostAtServer <= slots + extraGrants + 2);
}

// Guards against a pause or a second grant at a planned stop of the coordinator.
TEST_CASE("a planned stop of the coordinator moves its service without a loss", "[service]")
{
    ServiceLoad load;
    load.instances = 89;
    SimulatedServiceFleet fleet(load);
    fleet.at(fleet.start() + 2s, [&fleet] { fleet.drain(fleet.firstCoordinator()); });
    const auto outcome = fleet.run(6s);
    CAPTURE(outcome.asked, outcome.late, outcome.rejected, outcome.unanswered);
    CHECK(outcome.unanswered == 0);
    CHECK(outcome.longestGapInGrants <= 150ms);
    CHECK(outcome.mostAtServer <= slots + extraGrants + 1);
}

// Guards against instances that answer each other's messages without end because each takes itself for the coordinator.
TEST_CASE("instances that disagree on the coordinator exchange few messages", "[service]")
{
    ServiceLoad load;
    load.instances = 5;
    load.utilisation = 0.1;
    SimulatedServiceFleet fleet(load);
    fleet.disagree(3);
    const auto outcome = fleet.run(3s);
    CAPTURE(outcome.asked, fleet.messageCount());
    CHECK(fleet.messageCount() < 10 * outcome.asked);
    CHECK(outcome.unanswered == 0);
}

// Guards against slots that dead instances hold for long.
TEST_CASE("slots of killed instances are granted again", "[service]")
{
    ServiceLoad load;
    load.instances = 30;
    SimulatedServiceFleet fleet(load);
    fleet.at(fleet.start() + 2s, [&fleet] {
        for (size_t i = 0; i < 15; ++i) {
            if (i != fleet.firstCoordinator())
                fleet.kill(i);
        }
    });
    fleet.run(4s);
    fleet.stopArrivals();
    fleet.run(7s);
    CHECK(fleet.requestsAtServers() == 0);
    CHECK(fleet.heldAtCoordinators() == 0);
}
