#include <borageslip_core/borageslip_core.h>
#include <borageslip_traffic/borageslip_traffic.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <map>

using namespace borageslip;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr Duration step = 5ms;
constexpr Duration pollInterval = 600ms;
constexpr Duration readPatience = 1200ms;
constexpr Duration synRetransmission = 1000ms;
constexpr Duration answerTime = 15ms; ///< Of a source without a fault, with the pauses of a small processor share.

StoreSource instance(uint16_t number)
{
    return asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), number);
}

/** What is wrong with a source of the instance under test. */
enum class Fault {
    None,
    Silent, ///< Frozen, cut off, or dead but still listed.
    Behind, ///< Answers with the data of the time before the change, as old as at its last poll of the store.
    Lossy, ///< The first packet of each connection is lost.
};

/** What is changed in the store. */
enum class Change {
    Version, ///< Of the configuration.
    Evacuation,
    Servers, ///< A server drains, or its entry is removed. Nobody announces it.
};

/** One instance whose regular polls go to its reader, which has a fault from before a change on. All times are those of a
    passed-in clock. */
class Model {
public:
    struct Setup {
        Duration bound {};
        size_t instances = 0;
        std::map<StoreSource, Fault> faults {};
        bool hearsAnnouncements = true;
        bool isValueLarge = false;
        Duration ageAtChange {}; ///< Of the knowledge of the instance when the change is acknowledged.
        Change change = Change::Version;
    };

    explicit Model(Setup setup)
        : m_setup(std::move(setup))
        , m_refresh("entry-under-test", m_setup.bound, m_setup.bound)
    {
    }

    /** Time from the acknowledgement of a change until it is in force. */
    Duration timeUntilInForce()
    {
        const auto knownAt = m_changedAt - m_setup.ageAtChange;
        m_knowledge = { 1, knownAt, {}, 1, knownAt };
        for (m_now = knownAt; m_now < m_changedAt + 20s; m_now += step) {
            announce();
            deliver();
            if (m_isInForce)
                return m_now - m_changedAt;
            if (const auto due = m_refresh.next(m_knowledge, m_ranked, m_reader, m_setup.instances, m_now))
                begin(*due);
        }
        return m_now - m_changedAt;
    }

private:
    struct Read {
        StoreRead read;
        TimePoint beganAt {};
        TimePoint answeredAt {};
        bool hasAnswer = true;
    };

    Fault faultOf(const StoreSource& source) const
    {
        const auto found = m_setup.faults.find(source);
        return found == m_setup.faults.end() ? Fault::None : found->second;
    }

    bool hasChange(const StoreSource& source, TimePoint at) const
    {
        if (!source)
            return at >= m_changedAt;
        // The other readers poll the store, and announce what they read.
        return faultOf(source) == Fault::None && at >= m_changedAt + pollInterval;
    }

    void announce()
    {
        if (!m_setup.hearsAnnouncements || m_setup.change == Change::Servers)
            return;
        for (const auto& source : m_ranked) {
            if (!source || !hasChange(source, m_now))
                continue;
            if (m_setup.change == Change::Evacuation)
                m_refresh.recordEvacuation(*source, 2);
            else
                m_refresh.recordAnnouncement(*source, 2, m_knowledge.version, m_now);
        }
    }

    void begin(const StoreRead& due)
    {
        Read read { due, m_now, m_now + answerTime };
        const auto fault = faultOf(due.source);
        if (fault == Fault::Lossy)
            read.answeredAt += synRetransmission;
        if (fault == Fault::Silent) {
            read.answeredAt = m_now + readPatience;
            read.hasAnswer = false;
        }
        m_reads.push_back(read);
    }

    void deliver()
    {
        for (auto read = m_reads.begin(); read != m_reads.end();) {
            if (m_now < read->answeredAt) {
                ++read;
                continue;
            }
            const auto done = *read;
            read = m_reads.erase(read);
            m_refresh.recordResult(done.read.source, apply(done), m_now);
        }
    }

    StoreReadResult apply(const Read& done)
    {
        if (!done.hasAnswer)
            return StoreReadResult::Failed;
        const auto& source = done.read.source;
        const auto knownAt = source ? lastPoll(source, done.answeredAt) : done.beganAt;
        const bool isChanged = hasChange(source, done.answeredAt);
        const bool isOmitted = isChanged && m_setup.isValueLarge && source && !done.read.includesLargeValue;
        if (isOmitted)
            return StoreReadResult::ValueOmitted;
        const bool readsServers = done.read.scope == ReadScope::AllKeys;
        m_knowledge.confirmedAt = std::max(m_knowledge.confirmedAt, knownAt);
        if (readsServers)
            m_knowledge.serversConfirmedAt = std::max(*m_knowledge.serversConfirmedAt, knownAt);
        m_isInForce = isChanged && (readsServers || m_setup.change != Change::Servers);
        return m_refresh.needsRead(m_knowledge, m_now) ? StoreReadResult::Failed : StoreReadResult::Fresh;
    }

    TimePoint lastPoll(const StoreSource& source, TimePoint now) const
    {
        if (faultOf(source) == Fault::Behind)
            return m_changedAt - 1ms;
        const auto phase = pollInterval - 1ms;
        const auto polls = (now - m_changedAt + 100 * pollInterval + phase) / pollInterval;
        return m_changedAt + polls * pollInterval - phase - 100 * pollInterval;
    }

    Setup m_setup;
    StoreRefresh m_refresh;
    const StoreSource m_reader = instance(1);
    const std::vector<StoreSource> m_ranked { instance(1), instance(2), std::nullopt, instance(3), instance(4) };
    const TimePoint m_changedAt { 100s };
    TimePoint m_now {};
    StoreKnowledge m_knowledge;
    bool m_isInForce = false;
    std::vector<Read> m_reads;
};

struct Site {
    size_t instances;
    Duration bound;
};
constexpr std::array sites { Site { 9, 2s }, Site { 77, 3s }, Site { 89, 3s }, Site { 295, 4s } };
constexpr std::array faults { Fault::Silent, Fault::Behind, Fault::Lossy };

/** Calls a check for each set of silent instances that includes the reader. */
void forEachSilentSet(const std::function<void(std::map<StoreSource, Fault>)>& check)
{
    constexpr uint16_t others = 3;
    for (unsigned set = 0; set < 1U << others; ++set) {
        std::map<StoreSource, Fault> silent { { instance(1), Fault::Silent } };
        for (uint16_t other = 0; other < others; ++other) {
            if (set & 1U << other)
                silent.emplace(instance(other + 2), Fault::Silent);
        }
        check(std::move(silent));
    }
}

/** Calls a check for each fault of the reader alone and beside each fault of one more source. */
void forEachFaultPair(const std::function<void(std::map<StoreSource, Fault>)>& check)
{
    const std::array<StoreSource, 4> others { instance(2), instance(3), instance(4), std::nullopt };
    for (const auto readerFault : faults) {
        check({ { instance(1), readerFault } });
        for (const auto& other : others) {
            for (const auto otherFault : faults) {
                if (other || otherFault != Fault::Behind)
                    check({ { instance(1), readerFault }, { other, otherFault } });
            }
        }
    }
}

}

// Guards against an instance that applies a change too late because its source is frozen, behind or on a lossy link, alone
// or together with a second source (CONFIG).
TEST_CASE("a change takes effect in time whatever the source of an instance and one more source do")
{
    for (const auto& site : sites) {
        Duration longest {};
        forEachFaultPair([&](const std::map<StoreSource, Fault>& sourceFaults) {
            for (const bool hearsAnnouncements : { true, false }) {
                for (const bool isValueLarge : { false, true }) {
                    for (Duration age {}; age <= 1300ms; age += 100ms) {
                        const auto took = Model({ site.bound, site.instances, sourceFaults, hearsAnnouncements, isValueLarge, age }).timeUntilInForce();
                        longest = std::max(longest, took);
                        INFO("instances " << site.instances << ", age " << age / 1ms << ", announcements " << hearsAnnouncements << ", large " << isValueLarge);
                        CHECK(took <= site.bound);
                    }
                }
            }
        });
        INFO(site.instances << " instances: " << longest / 1ms << " ms at most");
        CHECK(longest > 0ms);
    }
}

// Guards against an instance that goes on sending requests to an evacuated domain because one or two of its sources are
// frozen, behind or on a lossy link, whether or not it hears the announcements of the others.
TEST_CASE("an evacuation takes effect in time whatever the source of an instance and one more source do", "[evacuation]")
{
    constexpr Duration evacuationBound = 5s;
    for (const auto& site : { Site { 62, 3s }, Site { 300, 3s }, Site { 75, 5s } }) {
        Duration longest {};
        forEachFaultPair([&](const std::map<StoreSource, Fault>& sourceFaults) {
            for (const bool hearsAnnouncements : { true, false }) {
                for (Duration age {}; age <= 1300ms; age += 100ms) {
                    const auto took = Model({ site.bound, site.instances, sourceFaults, hearsAnnouncements, false, age, Change::Evacuation }).timeUntilInForce();
                    longest = std::max(longest, took);
                }
            }
        });
        INFO(site.instances << " instances: " << longest / 1ms << " ms at most");
        CHECK(longest > 0ms);
        CHECK(longest <= std::min(site.bound, evacuationBound));
    }
}

// Guards against an instance that sends requests to a server that has left, because the instances from which it reads the
// list are frozen, behind or on a lossy link (DRAIN). Unlike a new configuration, nobody announces the change.
TEST_CASE("a server that leaves is known in time whatever the sources of an instance do")
{
    for (const auto& site : sites) {
        Duration longest {};
        const auto check = [&](const std::map<StoreSource, Fault>& sourceFaults) {
            for (Duration age {}; age <= 1300ms; age += 50ms) {
                const auto took = Model({ site.bound, site.instances, sourceFaults, false, false, age, Change::Servers }).timeUntilInForce();
                longest = std::max(longest, took);
            }
        };
        forEachFaultPair(check);
        forEachSilentSet(check);
        INFO(site.instances << " instances: " << longest / 1ms << " ms at most");
        CHECK(longest > 0ms);
        CHECK(longest <= site.bound);
    }
}

// Guards against reads of all keys where those of the operators suffice.
TEST_CASE("the list of servers is read only while it is not confirmed")
{
    StoreRefresh refresh("entry-1", 2s, 3s);
    const std::vector<StoreSource> ranked { instance(1), std::nullopt, instance(2) };
    const TimePoint now { 100s };
    const auto scopeAt = [&](Duration configurationAge, std::optional<Duration> serversAge) {
        StoreKnowledge knowledge { 1, now - configurationAge };
        if (serversAge)
            knowledge.serversConfirmedAt = now - *serversAge;
        const auto read = refresh.next(knowledge, ranked, ranked[0], 9, now);
        if (read)
            refresh.recordResult(read->source, StoreReadResult::Failed, now);
        return read ? std::optional(read->scope) : std::nullopt;
    };
    CHECK(!scopeAt(1400ms, 2200ms));
    CHECK(!scopeAt(1400ms, std::nullopt)); // The watcher reads the list first.
    CHECK(scopeAt(1600ms, 2200ms) == ReadScope::OperatorKeys);
    CHECK(scopeAt(0ms, 2300ms) == ReadScope::AllKeys);
    CHECK(scopeAt(1600ms, 2300ms) == ReadScope::AllKeys);
}

// Guards against endless reads for a revision that the store has lost.
TEST_CASE("an announced evacuation is read once the regular poll has not brought it, and not after it is forgotten", "[evacuation]")
{
    StoreRefresh refresh("entry-1", 3s, 3s);
    const TimePoint now { 100s };
    const std::vector<StoreSource> ranked { instance(1), std::nullopt, instance(2), instance(3) };
    const StoreKnowledge knowledge { 1, now, {}, 20 };
    refresh.recordEvacuation(*instance(2), 20);
    CHECK(!refresh.next(knowledge, ranked, ranked[0], 9, now));
    CHECK(!refresh.next(knowledge, ranked, ranked[0], 9, now + 1500ms));
    refresh.recordEvacuation(*instance(3), 30);
    CHECK(!refresh.next(knowledge, ranked, ranked[0], 9, now + 1500ms));
    CHECK(!refresh.next(knowledge, ranked, ranked[0], 9, now + 2s));
    // A version announced in the meantime does not postpone the read.
    refresh.recordAnnouncement(*instance(2), 1, 1, now + 2s);
    const auto due = refresh.next(knowledge, ranked, ranked[0], 9, now + 2300ms);
    REQUIRE(due);
    CHECK(due->source == instance(3));
    refresh.recordResult(due->source, StoreReadResult::Failed, now + 2300ms);
    refresh.forgetEvacuations();
    CHECK(refresh.newestEvacuation() == 0);
    CHECK(!refresh.next({ 1, now + 2s, {}, 20 }, ranked, ranked[0], 9, now + 3s));
}

TEST_CASE("an announced version is read from an instance that has it, without a call to the store")
{
    StoreRefresh refresh("entry-1", 2s, 2s);
    const TimePoint now { 100s };
    const StoreKnowledge knowledge { 1, now - 400ms };
    const std::vector<StoreSource> ranked { instance(1), std::nullopt, instance(2), instance(3) };
    CHECK(!refresh.next(knowledge, ranked, ranked[0], 9, now));
    refresh.recordAnnouncement(*instance(2), 2, 1, now);
    refresh.recordAnnouncement(*instance(3), 2, 1, now);
    CHECK(!refresh.next(knowledge, ranked, ranked[0], 9, now)); // The regular poll may bring it.
    CHECK(!refresh.next(knowledge, ranked, ranked[0], 9, now + 700ms));
    const auto first = refresh.next(knowledge, ranked, ranked[0], 9, now + 800ms);
    REQUIRE(first);
    CHECK(first->source);
    CHECK(first->source != ranked[0]);
    CHECK(!refresh.next(knowledge, ranked, ranked[0], 9, now + 810ms));
    const auto second = refresh.next(knowledge, ranked, ranked[0], 9, now + 920ms);
    REQUIRE(second);
    CHECK(second->source);
    CHECK(second->source != first->source);
}

TEST_CASE("reads of the configuration become rare while no source answers")
{
    StoreRefresh refresh("entry-1", 2s, 2s);
    const std::vector<StoreSource> ranked { instance(1), std::nullopt, instance(2), instance(3) };
    const TimePoint begin { 100s };
    size_t reads = 0;
    size_t storeReads = 0;
    for (auto now = begin; now < begin + 60s; now += step) {
        const auto due = refresh.next({ 1, begin }, ranked, ranked[0], 9, now);
        if (!due)
            continue;
        ++reads;
        storeReads += due->source ? 0 : 1;
        refresh.recordResult(due->source, StoreReadResult::Failed, now);
    }
    CHECK(storeReads <= 25);
    CHECK(reads <= 100);
}

TEST_CASE("an announcement of an older version causes no read")
{
    StoreRefresh refresh("entry-1", 2s, 2s);
    const TimePoint now { 100s };
    const std::vector<StoreSource> ranked { instance(1), std::nullopt };
    refresh.recordAnnouncement(*instance(2), 7, 7, now);
    refresh.recordAnnouncement(*instance(3), 6, 7, now);
    CHECK(!refresh.next({ 7, now }, ranked, ranked[0], 9, now + 1s));
    CHECK(refresh.newestAnnounced() == 7);
}

namespace {

class NoProtocol final : public CallerProtocol {
public:
    RequestMetadata requestMetadata(const HttpFields&) const override { return {}; }
    void prepareForwarding(HttpFields&, const ForwardingMetadata&) const override { }
    ResponseMetadata responseMetadata(unsigned, const HttpFields&) const override { return {}; }
};

/** Records the error with which a request ends. */
class ErrorSink final : public ResponseSink {
public:
    asio::awaitable<bool> begin(const HttpResponseHead&, std::optional<uint64_t>) override { co_return true; }
    asio::awaitable<bool> write(std::string_view) override { co_return true; }
    asio::awaitable<bool> end() override { co_return true; }
    void abort() override { }
    asio::awaitable<bool> sendError(const Error& failure) override
    {
        kind = failure.kind;
        co_return true;
    }
    bool hasBegun() const override { return false; }
    bool isCallerDisconnected() const override { return false; }

    std::optional<ErrorKind> kind;
};

TrafficConfigurationPtr configurationWithRoute(uint64_t version, const std::string& pathPrefix)
{
    Route route;
    route.name = "r";
    route.host = "h";
    route.pathPrefix = pathPrefix;
    route.services.push_back({ "pool", 1 });
    return std::make_shared<const TrafficConfiguration>(value(TrafficConfigurationBuilder().setVersion(version).addService({ "pool" }).addRoute(route).build()));
}

/** An instance whose configuration was confirmed some time before a request for a route that it does not know. */
class RefusingInstance {
public:
    explicit RefusingInstance(Duration age)
        : m_engine(m_clock, m_context.get_executor(), m_protocol, settings())
    {
        m_clock.advance(10s);
        m_engine.setConfiguration(configurationWithRoute(1, "/old/"));
        m_engine.confirmConfiguration(m_clock.now() - age);
        HttpRequest request;
        request.set(boost::beast::http::field::host, "h");
        request.target("/new/x");
        m_exchange = std::make_shared<Exchange>(m_engine, m_sink, std::move(request), m_clock.now());
        asio::co_spawn(m_context, m_exchange->run(), asio::detached);
        m_context.poll();
    }

    std::optional<ErrorKind> ended() const { return m_sink.kind; }

    void confirm(TrafficConfigurationPtr configuration)
    {
        m_engine.setConfiguration(std::move(configuration));
        m_engine.confirmConfiguration(m_clock.now());
        m_context.run();
    }

    void waitInVain()
    {
        m_clock.advance(2s);
        m_context.run();
    }

private:
    static TrafficSettings settings()
    {
        TrafficSettings settings;
        settings.maxConfigurationAge = 1500ms;
        return settings;
    }

    asio::io_context m_context;
    ManualClock m_clock;
    NoProtocol m_protocol;
    TrafficEngine m_engine;
    ErrorSink m_sink;
    std::shared_ptr<Exchange> m_exchange;
};

}

// Guards against a refusal by a configuration that is out of date (CONFIG).
TEST_CASE("a request that an unconfirmed configuration does not allow is refused only once the configuration is confirmed")
{
    initialiseLog(Severity::Error, "tests");
    CHECK(RefusingInstance(1400ms).ended() == ErrorKind::NotFound);
    RefusingInstance admitting(1600ms);
    CHECK(!admitting.ended());
    admitting.confirm(configurationWithRoute(2, "/new/"));
    CHECK(admitting.ended() == ErrorKind::NoEngineAvailable); // Admitted; the service has no server.
    RefusingInstance refusing(1600ms);
    refusing.confirm(configurationWithRoute(2, "/other/"));
    CHECK(refusing.ended() == ErrorKind::NotFound);
    RefusingInstance unconfirmed(1600ms);
    unconfirmed.waitInVain();
    CHECK(unconfirmed.ended() == ErrorKind::StoreUnavailable);
}

// Guards against instances that read each of many large configurations in a series, on top of their regular polls.
TEST_CASE("versions in quick succession cause no reads while the regular polls bring some of them")
{
    StoreRefresh refresh("entry-1", 3s, 3s);
    const std::vector<StoreSource> ranked { instance(1), std::nullopt, instance(2), instance(3) };
    const TimePoint begin { 100s };
    StoreKnowledge knowledge { 1, begin };
    uint64_t version = 1;
    size_t reads = 0;
    for (Duration at {}; at < 20s; at += step) {
        if (at % 100ms == 0ms)
            refresh.recordAnnouncement(*instance(2), ++version, knowledge.version, begin + at);
        if (at % pollInterval == 0ms)
            knowledge = { version, begin + at - pollInterval };
        if (refresh.next(knowledge, ranked, ranked[0], 89, begin + at))
            ++reads;
    }
    CHECK(reads == 0);
}
