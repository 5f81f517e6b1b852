#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t popular = 1;
constexpr uint64_t subject = 2;
constexpr uint64_t crashing = 3;

PromptFingerprint prompt(std::vector<uint64_t> parts)
{
    std::sort(parts.begin(), parts.end());
    return { "m", std::move(parts) };
}

ServerCrash crashOf(uint64_t server, std::vector<PromptFingerprint> suspects)
{
    return { server, std::move(suspects) };
}

/** Size and load of a simulated fleet. */
struct FleetLoad {
    size_t instances = 9;
    size_t servers = 9;
    double soundPerSecond = 12;
    double crashingPerSecond = 0.6;
    double lostMessages = 0; ///< Share of the messages between instances that are lost.
    bool variesSubject = false; ///< Whether requests that crash servers come with any subject.
    double otherCrashesPerSecond = 0; ///< Crashes of servers for other reasons.
    uint64_t chatParts = 0; ///< Further parts of each prompt, those of the subject's chat.
    bool replacesInstances = false; ///< Whether an instance is replaced by an empty one every two seconds.
    unsigned seed = 1;
};

/** Simulates instances that send sound requests and requests that crash their servers, each with its own copy of the
    quarantine. Time is simulated; messages between instances take 1 to 2 ms, reports the interval of the peer link. */
class SimulatedFleet {
public:
    explicit SimulatedFleet(const FleetLoad& load)
        : m_load(load)
        , m_random(load.seed)
        , m_running(load.servers)
        , m_isUp(load.servers, true)
    {
        for (size_t i = 0; i < load.instances; ++i)
            m_instances.push_back(std::make_unique<PromptQuarantine>(m_clock));
        for (size_t i = 0; i < load.instances; ++i)
            at(reportInterval() * uniform(), [this, i] { report(i); });
        repeat(load.soundPerSecond, [this] { send(promptOf(subject + 10 * (1 + number(31)), {}), false); });
        repeat(load.crashingPerSecond, [this] { send(crashingPrompt(), true); });
        if (load.otherCrashesPerSecond > 0)
            repeat(load.otherCrashesPerSecond, [this] { crash(number(m_load.servers)); });
        if (load.replacesInstances)
            repeat(0.5, [this] { m_instances[number(m_load.instances)] = std::make_unique<PromptQuarantine>(m_clock); });
    }

    void run(Duration length)
    {
        const auto end = m_clock.now() + length;
        while (!m_events.empty() && m_events.begin()->first < end) {
            auto event = m_events.extract(m_events.begin());
            m_clock.advance(event.key() - m_clock.now());
            event.mapped()();
        }
    }

    int crashes() const { return m_crashes; }

    /** Requests with the crashing part that were sent later than the given time after the fifth crash. */
    int sentAfterFifthCrash(Duration delay) const
    {
        return m_fifthCrashAt ? static_cast<int>(std::count_if(m_crashingSends.begin(), m_crashingSends.end(), [&](TimePoint sentAt) { return sentAt > *m_fifthCrashAt + delay; })) : 0;
    }
    int soundRejected() const { return m_soundRejected; }
    int soundBegun() const { return m_soundBegun; }

private:
    struct Running {
        size_t instance;
        PromptFingerprint prompt;
        bool crashesServer;
        bool hasBegun = false;
        TimePoint begunAt {};
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    size_t number(size_t count) { return std::uniform_int_distribution<size_t>(0, count - 1)(m_random); }
    static Duration seconds(double count) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count)); }
    double reportInterval() const { return std::max(0.1, 0.012 * static_cast<double>(m_load.instances)); }
    void at(double delay, std::function<void()> action) { m_events.emplace(m_clock.now() + seconds(delay), std::move(action)); }
    void repeat(double perSecond, std::function<void()> action)
    {
        const double delay = -std::log(1 - uniform()) / perSecond;
        at(delay, [this, perSecond, action] {
            action();
            repeat(perSecond, action);
        });
    }

    PromptFingerprint promptOf(uint64_t subjectPart, std::vector<uint64_t> parts) const
    {
        for (uint64_t turn = 0; turn < m_load.chatParts; ++turn)
            parts.push_back(1'000'000 * subjectPart + turn);
        parts.insert(parts.end(), { popular, subjectPart });
        return prompt(std::move(parts));
    }

    PromptFingerprint crashingPrompt() { return promptOf(m_load.variesSubject ? subject + 10 * (1 + number(31)) : subject + 10, { crashing }); }

    void toAll(size_t sender, const std::function<void(PromptQuarantine&)>& message)
    {
        for (size_t i = 0; i < m_instances.size(); ++i) {
            if (i != sender && uniform() >= m_load.lostMessages)
                at(0.001 + 0.001 * uniform(), [this, i, message] { message(*m_instances[i]); });
        }
    }

    void report(size_t instance)
    {
        m_instances[instance]->expire();
        if (const auto known = m_instances[instance]->quarantined(); !known.empty()) {
            toAll(instance, [known](PromptQuarantine& other) {
                for (const auto& entry : known)
                    other.adopt(entry);
            });
        }
        at(reportInterval(), [this, instance] { report(instance); });
    }

    void send(const PromptFingerprint& sent, bool crashesServer)
    {
        const auto instance = number(m_load.instances);
        const auto server = number(m_load.servers);
        if (m_instances[instance]->quarantineOf(sent)) {
            m_soundRejected += crashesServer ? 0 : 1;
            return;
        }
        if (!m_isUp[server])
            return;
        if (crashesServer)
            m_crashingSends.push_back(m_clock.now());
        const auto id = ++m_nextId;
        m_running[server][id] = { instance, sent, crashesServer };
        at(0.05 + 0.2 * uniform(), [this, server, id] { begin(server, id); });
    }

    void begin(size_t server, uint64_t id)
    {
        const auto found = m_running[server].find(id);
        if (found == m_running[server].end())
            return;
        if (found->second.crashesServer) {
            crash(server);
            return;
        }
        ++m_soundBegun;
        found->second.hasBegun = true;
        found->second.begunAt = m_clock.now();
        at(0.05, [this, server, id] { proceed(server, id); });
    }

    void proceed(size_t server, uint64_t id)
    {
        const auto found = m_running[server].find(id);
        if (found == m_running[server].end())
            return;
        const auto request = found->second;
        m_running[server].erase(found);
        const auto cleared = m_instances[request.instance]->recordProgress(request.prompt, request.begunAt);
        if (!cleared.parts.empty())
            toAll(request.instance, [cleared](PromptQuarantine& other) { other.clear(cleared); });
    }

    void crash(size_t server)
    {
        if (!m_isUp[server])
            return;
        std::map<size_t, ServerCrash> seen;
        bool isByRequest = false;
        for (const auto& [id, request] : m_running[server]) {
            isByRequest |= request.crashesServer;
            if (request.hasBegun)
                continue;
            auto& observed = seen[request.instance];
            observed.server = server;
            observed.suspects.push_back(request.prompt);
        }
        m_running[server].clear();
        m_isUp[server] = false;
        at(3, [this, server] { m_isUp[server] = true; });
        for (const auto& [instance, observed] : seen) {
            m_instances[instance]->recordCrash(observed);
            toAll(instance, [observed = observed](PromptQuarantine& other) { other.recordCrash(observed); });
        }
        if (isByRequest && ++m_crashes == 5)
            m_fifthCrashAt = m_clock.now();
    }

    FleetLoad m_load;
    std::mt19937 m_random;
    ManualClock m_clock;
    std::vector<std::unique_ptr<PromptQuarantine>> m_instances;
    std::vector<std::map<uint64_t, Running>> m_running; ///< By server.
    std::vector<bool> m_isUp;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<TimePoint> m_crashingSends;
    std::optional<TimePoint> m_fifthCrashAt;
    uint64_t m_nextId = 0;
    int m_crashes = 0;
    int m_soundRejected = 0;
    int m_soundBegun = 0;
};

}

TEST_CASE("prompt parts that crash servers reach few servers after the fifth crash, in fleets of any size", "[quarantine]")
{
    const std::vector<std::pair<FleetLoad, Duration>> loads {
        { { 9, 9, 12, 0.6 }, 3s },
        { { 9, 9, 12, 0.6, 0.02 }, 3s },
        { { 9, 12, 16, 2, 0.02, true }, 3s },
        { { 9, 9, 12, 0.6, 0, false, 0.3, true }, 3s },
        { { 77, 140, 238, 12, 0.02 }, 4s },
        { { 77, 140, 238, 12, 0.05, true, 1, true }, 4s },
        { { 295, 320, 900, 45, 0.02, true }, 5s },
    };
    for (size_t row = 0; row < loads.size(); ++row) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            auto [load, contact] = loads[row];
            load.seed = seed;
            SimulatedFleet fleet(load);
            fleet.run(40s);
            INFO("load " << row << " seed " << seed << ": " << fleet.crashes() << " crashes, " << fleet.soundRejected() << " sound requests rejected of " << fleet.soundBegun() + fleet.soundRejected());
            CHECK(fleet.sentAfterFifthCrash(contact) <= 3);
            CHECK(fleet.soundRejected() * 20 <= fleet.soundBegun());
        }
    }
}

// Guards against a limit of parts beyond which a prompt is not suspected, as in the prompts of long chats.
TEST_CASE("a part that crashes servers is found among hundreds of parts", "[quarantine]")
{
    for (const uint64_t chatParts : { 31, 40, 400 }) {
        for (const bool variesSubject : { false, true }) {
            for (unsigned seed = 1; seed <= 3; ++seed) {
                FleetLoad load { 9, 9, 12, 0.6, 0.02, variesSubject };
                load.chatParts = chatParts;
                load.seed = seed;
                SimulatedFleet fleet(load);
                fleet.run(40s);
                INFO("parts " << chatParts << " varied " << variesSubject << " seed " << seed << ": " << fleet.crashes() << " crashes, " << fleet.soundRejected() << " sound requests rejected of " << fleet.soundBegun() + fleet.soundRejected());
                CHECK(fleet.crashes() > 0);
                CHECK(fleet.sentAfterFifthCrash(3s) <= 3);
                CHECK(fleet.soundRejected() * 20 <= fleet.soundBegun());
            }
        }
    }
}

TEST_CASE("crashes of servers for other reasons quarantine no prompt part", "[quarantine]")
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        FleetLoad load { 9, 9, 60, 0.0001, 0.02, false, 1.5 };
        load.seed = seed;
        SimulatedFleet fleet(load);
        fleet.run(60s);
        INFO("seed " << seed);
        CHECK(fleet.soundRejected() == 0);
        CHECK(fleet.soundBegun() > 500);
    }
}

TEST_CASE("a prompt part that crashes servers is quarantined with the parts that were always with it", "[quarantine]")
{
    ManualClock clock;
    PromptQuarantine quarantine(clock);
    const auto tainted = prompt({ popular, subject, crashing });
    for (uint64_t server = 1; server <= 2; ++server) {
        quarantine.recordCrash(crashOf(server, { tainted }));
        CHECK_FALSE(quarantine.quarantineOf(tainted));
        clock.advance(1s);
    }
    quarantine.recordCrash(crashOf(3, { tainted }));
    CHECK(quarantine.quarantineOf(tainted));
    CHECK(quarantine.quarantineOf(prompt({ popular, subject, crashing, 9 })));
    CHECK_FALSE(quarantine.quarantineOf(prompt({ popular, subject })));
    CHECK_FALSE(quarantine.quarantineOf({ "another model", tainted.parts }));

    SECTION("parts that are cleared later leave the quarantine")
    {
        const auto cleared = quarantine.recordProgress(prompt({ popular, subject }), clock.now());
        CHECK(cleared == prompt({ popular, subject }));
        CHECK(quarantine.quarantineOf(prompt({ crashing })));
        CHECK(quarantine.quarantined().front().prompt == prompt({ crashing }));
    }
    SECTION("it ends when a response to the whole combination proceeds")
    {
        quarantine.recordProgress(tainted, clock.now());
        CHECK_FALSE(quarantine.quarantineOf(tainted));
        CHECK_FALSE(quarantine.isActive());
    }
    SECTION("requests renew it; after a long time without one it ends, and a single crash renews it")
    {
        for (int minute = 0; minute < 30; ++minute) {
            clock.advance(1min);
            quarantine.expire();
            REQUIRE(quarantine.quarantineOf(tainted));
        }
        clock.advance(11min);
        quarantine.expire();
        CHECK_FALSE(quarantine.quarantineOf(tainted));
        clock.advance(1min);
        quarantine.expire();
        quarantine.recordCrash(crashOf(4, { tainted }));
        CHECK(quarantine.quarantineOf(tainted));
    }
}

// Guards against a part that sound requests share and that hides the one that crashes servers.
TEST_CASE("a part that was cleared does not explain the crashes of another part", "[quarantine]")
{
    ManualClock clock;
    PromptQuarantine quarantine(clock);
    const auto tainted = prompt({ popular, subject, crashing });
    for (uint64_t server = 1; server <= 4; ++server) {
        quarantine.recordCrash(crashOf(server, { tainted }));
        clock.advance(1s);
        if (server <= 2)
            quarantine.recordProgress(prompt({ popular, subject }), clock.now());
    }
    CHECK(quarantine.quarantineOf(tainted));
    CHECK_FALSE(quarantine.quarantineOf(prompt({ popular, subject })));
}

TEST_CASE("a part that responses proceed on is no suspect", "[quarantine]")
{
    ManualClock clock;
    PromptQuarantine quarantine(clock);
    for (uint64_t server = 1; server <= 20; ++server) {
        quarantine.recordCrash(crashOf(server, { prompt({ popular, subject }) }));
        clock.advance(1s);
        quarantine.recordProgress(prompt({ popular, subject }), clock.now());
    }
    CHECK_FALSE(quarantine.isActive());
    CHECK_FALSE(quarantine.hasSuspects());
}

TEST_CASE("a response that began before the crash clears nothing", "[quarantine]")
{
    ManualClock clock;
    PromptQuarantine quarantine(clock);
    const auto begunAt = clock.now();
    clock.advance(1s);
    quarantine.recordCrash(crashOf(1, { prompt({ popular, crashing }) }));
    CHECK(quarantine.recordProgress(prompt({ popular, crashing }), begunAt).parts.empty());
    CHECK(quarantine.hasSuspects());
}

TEST_CASE("the crash of many servers at once counts once", "[quarantine]")
{
    ManualClock clock;
    PromptQuarantine quarantine(clock);
    for (uint64_t server = 1; server <= 20; ++server) {
        quarantine.recordCrash(crashOf(server, { prompt({ popular, subject }) }));
        clock.advance(4ms);
    }
    CHECK_FALSE(quarantine.isActive());
}

TEST_CASE("one server that crashes again and again taints no prompt part", "[quarantine]")
{
    ManualClock clock;
    PromptQuarantine quarantine(clock);
    for (int i = 0; i < 20; ++i) {
        quarantine.recordCrash(crashOf(1, { prompt({ popular, subject }) }));
        clock.advance(4s);
    }
    CHECK_FALSE(quarantine.isActive());
}

TEST_CASE("a quarantine is adopted from other instances without the parts that were cleared here", "[quarantine]")
{
    ManualClock clock;
    PromptQuarantine quarantine(clock);
    quarantine.clear(prompt({ popular }));
    quarantine.adopt({ prompt({ popular, crashing }), 5min });
    REQUIRE(quarantine.quarantined().size() == 1);
    CHECK(quarantine.quarantined().front().prompt == prompt({ crashing }));
    CHECK(quarantine.quarantined().front().timeLeft == 5min);
    quarantine.adopt({ prompt({ popular }), 5min });
    CHECK(quarantine.quarantined().size() == 1);

    SECTION("instances that adopt it from each other do not prolong it")
    {
        PromptQuarantine other(clock);
        for (int minute = 0; minute < 6; ++minute) {
            for (const auto& entry : quarantine.quarantined())
                other.adopt(entry);
            for (const auto& entry : other.quarantined())
                quarantine.adopt(entry);
            clock.advance(1min);
            quarantine.expire();
            other.expire();
        }
        CHECK_FALSE(quarantine.isActive());
        CHECK_FALSE(other.isActive());
    }
}

TEST_CASE("the memory of a quarantine is bounded", "[quarantine]")
{
    ManualClock clock;
    PromptQuarantine quarantine(clock);
    for (uint64_t i = 0; i < 300; ++i) {
        for (uint64_t server = 1; server <= 3; ++server) {
            quarantine.recordCrash(crashOf(server, { prompt({ 10 * i, 10 * i + 1 }) }));
            clock.advance(200ms);
        }
    }
    CHECK(quarantine.quarantined().size() <= 16);
    std::vector<uint64_t> many(1000);
    for (size_t i = 0; i < many.size(); ++i)
        many[i] = 100'000 + i;
    PromptQuarantine other(clock);
    for (uint64_t crash = 0; crash < 40; ++crash) {
        for (auto& part : many)
            part += 100'000;
        other.recordCrash(crashOf(crash, { prompt(many) }));
        CHECK(other.hasSuspects());
        CHECK(other.suspectCount() <= 4096);
    }
}

// Guards against a long prompt or model name that makes the messages about all others too long.
TEST_CASE("the fingerprint of a prompt is short enough for messages between instances", "[quarantine]")
{
    RequestMetadata metadata;
    metadata.model = std::string(3000, 'm');
    metadata.promptParts = { { 3, 1 }, { 1, 1 }, { 3, 1 }, { 9, 1 } };
    const auto fingerprint = promptFingerprint(metadata);
    CHECK(fingerprint.model.size() <= 64);
    CHECK(fingerprint.parts == std::vector<uint64_t> { 1, 3 });
    metadata.model = std::string(3000, 'n');
    CHECK(promptFingerprint(metadata).model != fingerprint.model);

    ManualClock clock;
    PromptQuarantine quarantine(clock);
    for (uint64_t i = 0; i < 40; ++i) {
        std::vector<uint64_t> parts;
        for (uint64_t part = 0; part < 30; ++part)
            parts.push_back(UINT64_MAX - 100 * i - part);
        for (uint64_t server = 1; server <= 3; ++server) {
            quarantine.recordCrash(crashOf(server, { { std::string(64, 'm'), prompt(parts).parts } }));
            clock.advance(200ms);
        }
    }
    PeerReport report { "instance", 1, 2, true, {} };
    report.quarantined = quarantine.quarantined();
    CHECK(report.quarantined.size() == 16);
    CHECK(encodePeerReport(report).size() < 8 * 1024);
}

TEST_CASE("messages about crashes keep their content", "[quarantine]")
{
    const ServerCrashNotice crash { "instance", { 7, { prompt({ 1, 2 }), prompt({ 3 }) } } };
    const auto decodedCrash = decodePeerMessage(encodeServerCrashNotice(crash));
    REQUIRE(isOk(decodedCrash));
    CHECK(std::get<ServerCrashNotice>(value(decodedCrash)) == crash);
    const ClearedPartsNotice cleared { "instance", prompt({ 1, 2 }) };
    const auto decodedCleared = decodePeerMessage(encodeClearedPartsNotice(cleared));
    REQUIRE(isOk(decodedCleared));
    CHECK(std::get<ClearedPartsNotice>(value(decodedCleared)) == cleared);
    PeerReport report { "instance", 1, 2, true, {} };
    report.quarantined = { { prompt({ 1, 2 }), 1500ms } };
    const auto decodedReport = decodePeerMessage(encodePeerReport(report));
    REQUIRE(isOk(decodedReport));
    CHECK(std::get<PeerReport>(value(decodedReport)) == report);
}

TEST_CASE("malformed messages about crashes are rejected", "[quarantine]")
{
    using nlohmann::json;
    const std::vector<json> documents {
        json::array({ serverCrashNoticeKind, "instance", 7 }),
        json::array({ serverCrashNoticeKind, "instance", -7, json::array() }),
        json::array({ serverCrashNoticeKind, "instance", 7, json::array({ json::array({ "m", "x" }) }) }),
        json::array({ serverCrashNoticeKind, "instance", 7, json::array({ json::array({ "m", json::array({ -1 }) }) }) }),
        json::array({ serverCrashNoticeKind, "instance", 7, json(std::vector<json>(1000, json::array({ "m", json::array() }))) }),
        json::array({ clearedPartsNoticeKind, "instance", json::array() }),
        json::array({ clearedPartsNoticeKind, 1, json::array({ "m", json::array({ 1 }) }) }),
        json::array({ 1, "instance", 1, 2, true, json::array(), json::array(), json::array({ 1 }) }),
        json::array({ 1, "instance", 1, 2, true, json::array(), json::array(), json::array({ json::array({ json::array({ "m", json::array({ 1 }) }), -1 }) }) }),
    };
    for (const auto& document : documents)
        CHECK_FALSE(isOk(decodePeerMessage(json::to_cbor(document))));
}
