#include <borageslip_scheduling/borageslip_scheduling.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t server = 7;
constexpr uint64_t capacity = 160'000;
constexpr Duration reportLifetime = 1200ms;

TimePoint at(Duration time)
{
    return TimePoint(1h) + time;
}

ServerMemory::Context context(Duration time, size_t listed = 1, bool isPrincipal = true)
{
    return { capacity, isPrincipal, listed, reportLifetime, at(time) };
}

MemoryUsage usage(uint64_t ownTokens, std::vector<HeldPrefix> prefixes = {})
{
    return { server, ownTokens, std::move(prefixes) };
}

/** The decision on a request that this instance has counted. */
MemoryDecision decide(ServerMemory& memory, const MemoryUsage& own, const ServerMemory::Context& now, const RequestMemory& request = { 1000, {} })
{
    return memory.decide(own, request, now);
}

}

// Guards against a server that crashes because its requests exceed its memory, and against a prefix that is counted for
// each request, which would leave most of the memory unused.
TEST_CASE("requests are granted up to the server's memory, with each prefix in use counted once", "[server-memory]")
{
    ServerMemory memory;
    memory.applyReport("a", { 1, 1 }, std::vector { usage(50'000, { { 5, 8000 }, { 6, 2000 } }) }, at(0ms));
    memory.applyReport("b", { 1, 1 }, std::vector { usage(40'000, { { 5, 8000 } }) }, at(0ms));
    CHECK(memory.heldTokens(usage(10'000, { { 5, 8000 } }), at(0ms)) == 110'000);
    decide(memory, usage(0), context(0ms, 3));
    memory.applyReport("a", { 1, 2 }, std::vector { usage(50'000, { { 5, 8000 }, { 6, 2000 } }) }, at(100ms));
    memory.applyReport("b", { 1, 2 }, std::vector { usage(40'000, { { 5, 8000 } }) }, at(100ms));
    CHECK(decide(memory, usage(40'000, { { 5, 8000 } }), context(200ms, 3)) == MemoryDecision::Fits);
    CHECK(decide(memory, usage(40'001, { { 5, 8000 } }), context(200ms, 3)) == MemoryDecision::Full);
    CHECK(decide(memory, usage(38'001, { { 9, 2000 } }), context(200ms, 3)) == MemoryDecision::Full);
    CHECK(decide(memory, usage(38'000, { { 9, 2000 } }), context(200ms, 3)) == MemoryDecision::Fits);
}

// Guards against memory that stays counted after a request has ended, its message was lost, or its instance is gone.
TEST_CASE("memory is released with the next message of its instance, when the instance is removed, and after a time limit", "[server-memory]")
{
    ServerMemory memory;
    memory.applyUsage("a", { 1, 1 }, usage(5000, { { 5, 8000 } }), at(0ms));
    CHECK(memory.heldTokens(usage(0), at(0ms)) == 13'000);
    memory.applyUsage("a", { 1, 3 }, usage(0), at(10ms));
    CHECK(memory.heldTokens(usage(0), at(10ms)) == 0);
    // Arrives late, after a newer message.
    memory.applyUsage("a", { 1, 2 }, usage(9000), at(20ms));
    CHECK(memory.heldTokens(usage(0), at(20ms)) == 0);
    memory.applyUsage("a", { 1, 4 }, usage(9000), at(30ms));
    // The message that the request has ended is lost; the report repeats the totals.
    memory.applyReport("a", { 1, 6 }, {}, at(40ms));
    CHECK(memory.heldTokens(usage(0), at(40ms)) == 0);
    memory.applyUsage("a", { 1, 7 }, usage(9000), at(50ms));
    memory.applyUsage("a", { 2, 1 }, { 8, 100, {} }, at(60ms));
    CHECK(memory.heldTokens(usage(0), at(60ms)) == 0);
    memory.applyUsage("a", { 2, 2 }, usage(9000), at(70ms));
    CHECK(memory.heldTokens(usage(0), at(70ms + reportLifetime * 2)) == 9000);
    CHECK(memory.heldTokens(usage(0), at(71ms + ServerMemory::lostUsageLifetime)) == 0);
    memory.remove("a");
    CHECK(memory.heldTokens(usage(0), at(80ms)) == 0);
    CHECK(memory.instanceCount() == 0);
}

// Guards against a denied request that stays counted, and against a denial that removes what a newer message has stated.
TEST_CASE("a denial takes back what its request was counted for, unless a newer message has arrived", "[server-memory]")
{
    ServerMemory memory;
    const RequestMemory request { 1000, { 5, 8000 } };
    const auto base = usage(500, { { 6, 2000 } });
    memory.applyUsage("a", { 1, 1 }, usageWith(base, request), at(0ms));
    CHECK(memory.heldTokens(usage(0), at(0ms)) == 11'500);
    memory.applyDenial("a", { 1, 1 }, base);
    CHECK(memory.heldTokens(usage(0), at(0ms)) == 2500);
    memory.applyUsage("a", { 1, 2 }, usageWith(base, request), at(0ms));
    memory.applyUsage("a", { 1, 3 }, usage(7000), at(0ms));
    memory.applyDenial("a", { 1, 2 }, base);
    CHECK(memory.heldTokens(usage(0), at(0ms)) == 7000);
}

// Guards against a successor that fills a server which its predecessor has just filled: the grants of the predecessor are
// known to the successor only with the next reports.
TEST_CASE("a new coordinator grants a small share until every heard instance has reported", "[server-memory]")
{
    ServerMemory memory;
    memory.applyReport("a", { 1, 1 }, {}, at(0ms));
    memory.applyReport("b", { 1, 1 }, {}, at(0ms));
    const RequestMemory request { 5000, {} };
    const auto grant = [&](Duration time, uint64_t own) {
        const auto now = context(time, 3);
        const auto decision = decide(memory, usage(own), now, request);
        if (decision == MemoryDecision::Fits)
            memory.recordGrant(server, request, now);
        return decision;
    };
    CHECK(grant(10ms, 5000) == MemoryDecision::Fits);
    CHECK(grant(20ms, 10'000) == MemoryDecision::Fits);
    CHECK(grant(30ms, 15'000) == MemoryDecision::Unsettled);
    memory.applyReport("a", { 1, 2 }, {}, at(100ms));
    CHECK(grant(110ms, 15'000) == MemoryDecision::Unsettled);
    memory.applyReport("b", { 1, 2 }, {}, at(120ms));
    CHECK(grant(130ms, 15'000) == MemoryDecision::Fits);
    CHECK(grant(140ms, 140'000) == MemoryDecision::Fits);
    // Meanwhile another instance may have coordinated the server.
    memory.applyReport("a", { 1, 3 }, {}, at(2000ms));
    memory.applyReport("b", { 1, 3 }, {}, at(2000ms));
    CHECK(grant(2010ms, 5000) == MemoryDecision::Fits);
    CHECK(grant(2020ms, 15'000) == MemoryDecision::Fits);
    CHECK(grant(2030ms, 20'000) == MemoryDecision::Unsettled);
}

// Guards against an instance that some ask in place of the coordinator, because messages were lost, and that grants the
// same memory as the coordinator.
TEST_CASE("an instance that is not the principal coordinator grants a small share within the time of a report", "[server-memory]")
{
    ServerMemory memory;
    const RequestMemory request { 2500, { 5, 2500 } };
    const auto grant = [&](Duration time) {
        const auto now = context(time, 1, false);
        const auto decision = decide(memory, usage(request.ownTokens, { request.prefix }), now, request);
        if (decision == MemoryDecision::Fits)
            memory.recordGrant(server, request, now);
        return decision;
    };
    for (int i = 0; i < 3; ++i)
        CHECK(grant(0ms) == MemoryDecision::Fits);
    CHECK(grant(10ms) == MemoryDecision::Unsettled);
    CHECK(grant(reportLifetime) == MemoryDecision::Unsettled);
    CHECK(grant(reportLifetime + 1ms) == MemoryDecision::Fits);
}

// Guards against two parts of a fleet that don't hear each other and each fill the whole memory.
TEST_CASE("a coordinator grants the share of the memory that the instances it hears are of the listed ones", "[server-memory]")
{
    ServerMemory memory;
    decide(memory, usage(0), context(0ms, 4));
    memory.applyReport("a", { 1, 1 }, {}, at(10ms));
    CHECK(decide(memory, usage(70'000), context(20ms, 4)) == MemoryDecision::Fits);
    CHECK(decide(memory, usage(70'001), context(20ms, 4)) == MemoryDecision::Full);
    CHECK(decide(memory, usage(35'001), context(20ms + reportLifetime, 4)) == MemoryDecision::Full);
    CHECK(ServerMemory::maxRequestTokens(capacity) == 140'000);
}

namespace {

/** Kind of trouble in a simulated fleet. */
struct Trouble {
    double lostMessages = 0;
    bool changesCoordinator = false; ///< Whether the coordinator freezes and ends in turns.
    bool isSplit = false; ///< Whether two halves don't hear each other for a part of the time.
    unsigned seed = 1;
};

/** Instances that send requests to one server and grant each other its memory. Time is simulated: messages take 1 to
    40 ms, reports are sent each 150 ms. The server holds each request's prompt and output from its grant until it ends;
    the outputs are up to the maximum, whatever had been estimated. */
class SimulatedServer {
public:
    explicit SimulatedServer(const Trouble& trouble)
        : m_trouble(trouble)
        , m_random(trouble.seed)
    {
        for (size_t i = 0; i < instanceCount; ++i) {
            m_instances.emplace_back();
            m_instances[i].name = "instance" + std::to_string(i);
            scheduleReport(i, 1ms * (1 + number(150)));
            scheduleRequest(i, 1ms * (1 + number(100)));
        }
        if (trouble.changesCoordinator)
            scheduleFreeze(3s);
        if (trouble.isSplit)
            schedule(4s, [this] { m_isSplit = true; });
        if (trouble.isSplit)
            schedule(30s, [this] { m_isSplit = false; });
    }

    void run(Duration length)
    {
        while (!m_events.empty() && m_events.begin()->first < length) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
    }

    uint64_t mostHeld = 0; ///< Tokens at the server.
    size_t grants = 0;
    size_t denials = 0;
    size_t unanswered = 0;

private:
    static constexpr size_t instanceCount = 6;
    static constexpr Duration lifetime = reportLifetime;

    struct Instance {
        std::string name;
        ServerMemory memory {};
        RequestMemoryCounter own {};
        std::map<std::string, Duration> heardAt {};
        uint64_t incarnation = 1;
        uint64_t sequence = 0;
        Duration frozenUntil {};
    };

    struct Message {
        size_t sender = 0;
        MessageOrder order {};
        MemoryUsage usage {};
        std::vector<MemoryUsage> report {};
    };

    uint64_t number(uint64_t count) { return std::uniform_int_distribution<uint64_t>(0, count - 1)(m_random); }
    bool isLost(size_t from, size_t to)
    {
        const bool isApart = m_isSplit && (from < instanceCount / 2) != (to < instanceCount / 2);
        return isApart || std::uniform_real_distribution<double>(0, 1)(m_random) < m_trouble.lostMessages;
    }
    void schedule(Duration time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }

    /** Runs an event at an instance, after the end of its freeze. */
    void scheduleAt(size_t instance, Duration time, const std::function<void()>& event)
    {
        schedule(time, [this, instance, event] {
            if (m_now < m_instances[instance].frozenUntil)
                return scheduleAt(instance, m_instances[instance].frozenUntil, event);
            event();
        });
    }

    void send(size_t from, size_t to, const std::function<void()>& receipt)
    {
        if (!isLost(from, to))
            scheduleAt(to, m_now + 1ms * (1 + number(40)), receipt);
    }

    void scheduleReport(size_t sender, Duration time)
    {
        scheduleAt(sender, time, [this, sender] {
            auto& instance = m_instances[sender];
            const MessageOrder order { instance.incarnation, ++instance.sequence };
            std::vector<MemoryUsage> rows { instance.own.usage(server) };
            for (size_t to = 0; to < instanceCount; ++to) {
                if (to == sender)
                    continue;
                send(sender, to, [this, sender, to, order, rows] {
                    m_instances[to].memory.applyReport(m_instances[sender].name, order, rows, at(m_now));
                    m_instances[to].heardAt[m_instances[sender].name] = m_now;
                });
            }
            scheduleReport(sender, m_now + 150ms);
        });
    }

    size_t coordinatorFor(size_t asker, const std::set<size_t>& excluded)
    {
        std::vector<std::string_view> names;
        std::vector<size_t> positions;
        for (size_t i = 0; i < instanceCount; ++i) {
            const auto heard = m_instances[asker].heardAt.find(m_instances[i].name);
            const bool isHeard = i == asker || (heard != m_instances[asker].heardAt.end() && m_now - heard->second <= lifetime);
            if (!isHeard || excluded.contains(i))
                continue;
            names.push_back(m_instances[i].name);
            positions.push_back(i);
        }
        return positions[*coordinatorOf(server, names)];
    }

    ServerMemory::Context contextOf(size_t coordinator)
    {
        return { capacity, coordinatorFor(coordinator, {}) == coordinator, instanceCount, lifetime, at(m_now) };
    }

    void scheduleRequest(size_t by, Duration time)
    {
        scheduleAt(by, time, [this, by] {
            request(by);
            scheduleRequest(by, m_now + 1ms * (1 + number(25)));
        });
    }

    void request(size_t by)
    {
        auto& instance = m_instances[by];
        const RequestMemory wanted { 200 + number(4000), { 1 + number(12), 6000 } };
        // Each instance excludes the coordinator now and then, as after lost replies.
        std::set<size_t> excluded;
        if (m_trouble.lostMessages > 0 && number(10) == 0)
            excluded.insert(coordinatorFor(by, {}));
        if (excluded.contains(by))
            excluded.clear();
        const auto coordinator = coordinatorFor(by, excluded);
        const auto base = instance.own.usage(server);
        instance.own.add(wanted);
        const MessageOrder order { instance.incarnation, ++instance.sequence };
        const auto answered = std::make_shared<bool>(false);
        const auto incarnation = instance.incarnation;
        const auto decideAt = [=, this] { decideOn(coordinator, by, order, base, wanted, answered); };
        if (coordinator == by)
            decideAt();
        else
            send(by, coordinator, decideAt);
        scheduleAt(by, m_now + 100ms, [=, this] {
            if (*answered || m_instances[by].incarnation != incarnation)
                return;
            // Without an answer nothing is sent.
            *answered = true;
            ++unanswered;
            m_instances[by].own.remove(wanted);
        });
    }

    void decideOn(size_t coordinator, size_t by, MessageOrder order, const MemoryUsage& base, const RequestMemory& wanted, const std::shared_ptr<bool>& answered)
    {
        auto& instance = m_instances[coordinator];
        if (coordinator != by)
            instance.memory.applyUsage(m_instances[by].name, order, usageWith(base, wanted), at(m_now));
        const auto now = contextOf(coordinator);
        const bool isGranted = instance.memory.decide(instance.own.usage(server), wanted, now) == MemoryDecision::Fits;
        if (isGranted)
            instance.memory.recordGrant(server, wanted, now);
        else if (coordinator != by)
            instance.memory.applyDenial(m_instances[by].name, order, base);
        const auto receipt = [=, this] { take(by, order.incarnation, wanted, isGranted, answered); };
        if (coordinator == by)
            receipt();
        else
            send(coordinator, by, receipt);
    }

    void take(size_t by, uint64_t incarnation, const RequestMemory& wanted, bool isGranted, const std::shared_ptr<bool>& answered)
    {
        auto& instance = m_instances[by];
        if (*answered || instance.incarnation != incarnation)
            return;
        *answered = true;
        if (!isGranted) {
            ++denials;
            instance.own.remove(wanted);
            return;
        }
        ++grants;
        const auto id = ++m_requests;
        m_held[id] = { by, wanted };
        measure();
        scheduleAt(by, m_now + 1ms * (20 + number(3000)), [=, this] {
            if (m_held.erase(id) > 0)
                m_instances[by].own.remove(wanted);
        });
    }

    void measure()
    {
        uint64_t tokens = 0;
        std::set<uint64_t> prefixes;
        for (const auto& [id, held] : m_held) {
            tokens += held.second.ownTokens;
            if (prefixes.insert(held.second.prefix.hash).second)
                tokens += held.second.prefix.tokens;
        }
        mostHeld = std::max(mostHeld, tokens);
    }

    /** Freezes the coordinator for a while, then kills and restarts another one. */
    void scheduleFreeze(Duration time)
    {
        schedule(time, [this] {
            const auto coordinator = coordinatorFor(number(instanceCount), {});
            m_instances[coordinator].frozenUntil = m_now + 1ms * number(2500);
            schedule(m_now + 2s, [this, killed = coordinatorFor(number(instanceCount), {})] { restart(killed); });
            scheduleFreeze(m_now + 5s);
        });
    }

    void restart(size_t killed)
    {
        auto& instance = m_instances[killed];
        std::erase_if(m_held, [&](const auto& entry) { return entry.second.first == killed; });
        instance.own = {};
        instance.memory = {};
        instance.heardAt.clear();
        ++instance.incarnation;
        instance.sequence = 0;
    }

    Trouble m_trouble;
    std::mt19937 m_random;
    std::vector<Instance> m_instances;
    std::multimap<Duration, std::function<void()>> m_events;
    std::map<uint64_t, std::pair<size_t, RequestMemory>> m_held; ///< By number; with the instance.
    uint64_t m_requests = 0;
    Duration m_now {};
    bool m_isSplit = false;
};

}

// Guards against a server whose memory is exceeded by the requests of several instances together: with lost messages, a
// coordinator that freezes, ends and comes back, and parts of the fleet that don't hear each other.
TEST_CASE("a fleet under overload keeps a server within its memory whatever it loses, and uses the memory", "[server-memory]")
{
    for (unsigned seed = 1; seed <= 12; ++seed) {
        for (const auto& trouble : { Trouble { 0, false, false, seed }, Trouble { 0.1, false, false, seed }, Trouble { 0.4, false, false, seed }, Trouble { 0, true, false, seed }, Trouble { 0.1, true, false, seed }, Trouble { 0.05, false, true, seed } }) {
            SimulatedServer simulated(trouble);
            simulated.run(45s);
            CAPTURE(seed, trouble.lostMessages, trouble.changesCoordinator, trouble.isSplit, simulated.grants, simulated.denials, simulated.unanswered);
            CHECK(simulated.mostHeld <= capacity);
            // The load exceeds the memory several times. A grant whose reply is lost counts until the next message.
            const bool isMostlyAnswered = trouble.lostMessages <= 0.1;
            CHECK(simulated.mostHeld > (isMostlyAnswered ? capacity * 3 / 4 : capacity / 2));
            CHECK(simulated.denials > 1000);
            CHECK(simulated.grants > 300);
        }
    }
}
