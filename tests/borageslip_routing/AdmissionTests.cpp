#include "Engines.h"

#include <borageslip_core/errors/Invariant.h>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <unordered_map>

using namespace borageslip;
using namespace std::chrono_literals;

namespace {

/** Simulates an engine behind its admission control; each request finishes after the running time given for it. */
class SimulatedEngine {
public:
    explicit SimulatedEngine(const EngineAdmission::Settings& settings, double meanLoad = 1000)
        : admission(settings)
    {
        admission.setMeanLoad(meanLoad);
    }

    Decision submit(std::string_view account, WorkClass workClass, Duration runtime, Duration timeout = 10min)
    {
        const RequestId id("r" + std::to_string(++m_lastId));
        const AccountId accountId(account);
        m_runtimes[id] = runtime;
        auto decision = admission.decide({ id, accountId, workClass, 1, clock.now() + timeout }, clock.now());
        if (std::holds_alternative<Admit>(decision)) {
            admission.start(id, workClass, clock.now());
            begin(id, accountId, workClass, clock.now());
        }
        return decision;
    }

    void step(Duration duration)
    {
        clock.advance(duration);
        apply(admission.expire(clock.now()));
        while (!m_ends.empty() && m_ends.begin()->first <= clock.now()) {
            const auto id = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            apply(admission.finish(id, clock.now()));
        }
    }

    EngineAdmission admission;
    ManualClock clock;
    std::unordered_map<AccountId, int> startedByAccount;
    std::map<WorkClass, int> startedByClass;
    std::map<WorkClass, Duration> longestWait;
    int refused = 0;

private:
    void begin(const RequestId& id, const AccountId& account, WorkClass workClass, TimePoint queuedAt)
    {
        ++startedByAccount[account];
        ++startedByClass[workClass];
        longestWait[workClass] = std::max(longestWait[workClass], clock.now() - queuedAt);
        m_ends.emplace(clock.now() + m_runtimes[id], id);
    }

    void apply(const DequeuedRequests& release)
    {
        for (const auto& started : release.started)
            begin(started.request.id, started.request.account, started.workClass, started.request.queuedAt);
        refused += static_cast<int>(release.refused.size());
    }

    uint64_t m_lastId = 0;
    std::unordered_map<RequestId, Duration> m_runtimes;
    std::multimap<TimePoint, RequestId> m_ends;
};

EngineAdmission::Settings slots(int count)
{
    EngineAdmission::Settings settings;
    settings.slots = count;
    return settings;
}

}

TEST_CASE("the load bound is at least one request and is not raised by rounding errors")
{
    CHECK(LoadBound().limit(0) == 1);
    CHECK(LoadBound().limit(4) == 5);
    CHECK(LoadBound().limit(4.1) == 6);
    CHECK(LoadBound(1.1).limit(10) == 11);
}

TEST_CASE("admission never exceeds the load bound or the number of slots under any sequence of events")
{
    CHECK(rc::check([] {
        const auto violations = invariantViolations();
        SimulatedEngine engine(slots(*rc::gen::inRange(1, 20)), 0);
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        double mean = 0;
        for (const int kind : steps) {
            // The mean only rises here: when it falls, requests that already run may exceed the new bound.
            if (kind == 0)
                engine.admission.setMeanLoad(mean += 0.7);
            else if (kind == 1)
                engine.step(700ms);
            else
                engine.submit("a" + std::to_string(kind), static_cast<WorkClass>(kind % 3), 1s);
            RC_ASSERT(engine.admission.running() <= LoadBound().limit(mean));
            RC_ASSERT(engine.admission.running() <= engine.admission.capacity());
        }
        RC_ASSERT(invariantViolations() == violations);
    }));
}

TEST_CASE("a start without an admission decision is reported as a violation of load bound I1")
{
    EngineAdmission admission(slots(4));
    const auto violations = invariantViolations();
    admission.start(RequestId("a"), WorkClass::Standard, {});
    CHECK(invariantViolations() == violations);
    admission.start(RequestId("b"), WorkClass::Standard, {});
    CHECK(invariantViolations() == violations + 1);
}

TEST_CASE("requests that other homes run on the engine count against its capacity")
{
    SimulatedEngine engine(slots(4));
    engine.submit("a", WorkClass::Standard, 1h);
    engine.admission.setReportedRunning(3, engine.clock.now(), 1);
    CHECK(engine.admission.running() == 4);
    CHECK(std::holds_alternative<Queue>(engine.submit("a", WorkClass::Standard, 1s)));
    engine.admission.setReportedRunning(1, engine.clock.now());
    CHECK(engine.admission.expire(engine.clock.now()).started.size() == 1);
}

TEST_CASE("a late report of requests that this home has finished is not counted as requests of other homes")
{
    ManualClock clock;
    EngineAdmission admission(slots(4));
    admission.start(RequestId("r"), WorkClass::Standard, clock.now());
    admission.finish(RequestId("r"), clock.now());
    clock.advance(1s);
    admission.setReportedRunning(1, clock.now());
    CHECK(admission.running() == 0);
    clock.advance(5s);
    admission.setReportedRunning(1, clock.now());
    CHECK(admission.running() == 1);
}

TEST_CASE("long work does not delay short work, because a quarter of the slots is reserved for short work")
{
    SimulatedEngine engine(slots(16));
    for (int i = 0; i < 40; ++i)
        engine.submit("drafts", WorkClass::Long, 10min, 1h);
    CHECK(engine.admission.running(WorkClass::Long) == 12);
    for (int second = 0; second < 300; ++second) {
        engine.submit("quick", WorkClass::Urgent, 900ms);
        engine.submit("quick", WorkClass::Urgent, 900ms);
        engine.step(1s);
    }
    CHECK(engine.startedByClass[WorkClass::Urgent] == 600);
    CHECK(engine.longestWait[WorkClass::Urgent] == 0s);
}

TEST_CASE("long work is not starved by urgent work that would fill every slot")
{
    const int count = GENERATE(1, 2, 4, 10);
    auto settings = slots(count);
    settings.expectedDuration = { 1s, 1s, 1s };
    SimulatedEngine engine(settings);
    double longSlotSeconds = 0;
    for (int second = 0; second < 1000; ++second) {
        engine.submit("drafts", WorkClass::Long, 5s, 10h);
        for (int i = 0; i < 2 * count; ++i)
            engine.submit("quick", WorkClass::Urgent, 1s, 10h);
        engine.step(1s);
        longSlotSeconds += engine.admission.running(WorkClass::Long);
    }
    // The guaranteed share is 20% of the slots; some slot time is lost between two consecutive requests.
    CHECK(longSlotSeconds / (1000.0 * count) >= 0.19);
    CHECK(engine.startedByClass[WorkClass::Urgent] > 100 * count);
}

TEST_CASE("a straggler of a short class counts as long work")
{
    auto settings = slots(4);
    SimulatedEngine engine(settings);
    for (int i = 0; i < 3; ++i)
        engine.submit("a", WorkClass::Urgent, 1h);
    engine.clock.advance(11s);
    engine.admission.markStragglers(engine.clock.now());
    CHECK(engine.admission.running(WorkClass::Long) == 3);
    CHECK(std::holds_alternative<Queue>(engine.submit("a", WorkClass::Long, 1s, 10h)));
    CHECK(std::holds_alternative<Admit>(SimulatedEngine(settings).submit("a", WorkClass::Long, 1s)));
}

TEST_CASE("a request is refused before it runs as soon as its expected wait exceeds its deadline")
{
    SimulatedEngine engine(slots(1));
    engine.submit("a", WorkClass::Standard, 5s);
    CHECK(std::holds_alternative<Queue>(engine.submit("a", WorkClass::Standard, 5s, 6s)));
    const auto decision = engine.submit("a", WorkClass::Standard, 5s, 6s);
    REQUIRE(std::holds_alternative<Refuse>(decision));
    const auto& error = std::get<Refuse>(decision).error;
    CHECK(error.kind == ErrorKind::Overloaded);
    CHECK_FALSE(error.mayHaveRun());
    CHECK(error.retryAfter == 10s);
    engine.submit("a", WorkClass::Standard, 5s, 11s);
    engine.clock.advance(6500ms);
    CHECK(engine.admission.expire(engine.clock.now()).refused.size() == 1);
}

TEST_CASE("a redirectable request is queued only if the expected wait is within its redirect threshold")
{
    EngineAdmission admission(slots(1));
    const AccountId account("a");
    const RequestId first("1");
    const RequestId second("2");
    admission.start(first, WorkClass::Standard, {});
    RequestView request { second, account, WorkClass::Standard, 1, TimePoint { 1h }, 1s, true };
    CHECK(std::holds_alternative<Redirect>(admission.decide(request, {})));
    request.redirectThreshold = 10s;
    CHECK(std::holds_alternative<Queue>(admission.decide(request, {})));
    admission.close();
    CHECK(std::holds_alternative<Redirect>(admission.decide(request, {})));
    const auto release = admission.expire({});
    REQUIRE(release.refused.size() == 1);
    CHECK(release.refused[0].error.kind == ErrorKind::NoEngineAvailable);
}

TEST_CASE("a surge of one account in ten leaves the others at least 95% of their share")
{
    auto settings = slots(10);
    settings.expectedDuration = { 1s, 1s, 1s };
    SimulatedEngine engine(settings);
    // Ten accounts with one 1 s request per second would fill the ten slots; one of them sends twenty per second
    // instead.
    int offered = 0;
    for (int second = 0; second < 500; ++second) {
        for (int i = 0; i < 20; ++i)
            engine.submit("surging", WorkClass::Standard, 1s, 5s);
        for (int account = 0; account < 9; ++account)
            engine.submit("a" + std::to_string(account), WorkClass::Standard, 1s, 5s);
        ++offered;
        engine.step(1s);
    }
    for (int account = 0; account < 9; ++account)
        CHECK(engine.startedByAccount[AccountId("a" + std::to_string(account))] >= 0.95 * offered);
    CHECK(engine.startedByAccount[AccountId("surging")] <= 1.3 * offered);
}

TEST_CASE("deficit round robin serves equal total cost to accounts whose requests differ in cost")
{
    CHECK(rc::check([] {
        FairQueue queue(10000, 5000);
        std::unordered_map<AccountId, double> served;
        const auto accounts = *rc::gen::inRange(2, 6);
        double largest = 0;
        for (int account = 0; account < accounts; ++account) {
            const double cost = *rc::gen::inRange(1, 40) * 0.25;
            largest = std::max(largest, cost);
            for (int i = 0; i < 1000; ++i)
                queue.push({ RequestId(), AccountId(std::to_string(account)), cost });
        }
        double total = 0;
        while (total < 200) {
            const auto request = queue.pop();
            RC_ASSERT(request.has_value());
            served[request->account] += request->cost;
            total += request->cost;
        }
        for (const auto& [account, cost] : served)
            RC_ASSERT(std::abs(cost - total / accounts) <= 2 * largest + 2);
    }));
}

TEST_CASE("a full queue displaces a request of the longest backlog to accept one of an account without a backlog")
{
    FairQueue queue(4, 4);
    for (int i = 0; i < 4; ++i)
        CHECK(queue.push({ RequestId(std::to_string(i)), AccountId("surging") }).isQueued);
    CHECK_FALSE(queue.push({ RequestId("4"), AccountId("surging") }).isQueued);
    const auto result = queue.push({ RequestId("x"), AccountId("quiet") });
    CHECK(result.isQueued);
    CHECK(result.displaced->id == RequestId("3"));
    CHECK(queue.remove(RequestId("x")));
    CHECK(queue.size() == 3);
    CHECK(queue.activeAccounts() == 1);
}

TEST_CASE("the work class depends on the durations of an account's similar requests and not only on their declared tokens")
{
    WorkClassifier classifier({});
    const AccountId account("a");
    const WorkFeatures modest { account, 5, 512, 100 };
    const WorkFeatures large { account, 5, 4096, 100 };
    CHECK(classifier.classify(modest) == WorkClass::Standard);
    CHECK(classifier.classify(large) == WorkClass::Long);
    CHECK(classifier.classify({ account, 2, 512, 100 }) == WorkClass::Urgent);
    CHECK(classifier.classify({ account, 5, 32, 100 }) == WorkClass::Urgent);
    for (int i = 0; i < 5; ++i) {
        classifier.recordFinished(modest, 60s);
        classifier.recordFinished(large, 2s);
    }
    CHECK(classifier.classify(modest) == WorkClass::Long);
    CHECK(classifier.classify(large) == WorkClass::Standard);
    const AccountId other("b");
    CHECK(classifier.classify({ other, 5, 512, 100 }) == WorkClass::Standard);
}

TEST_CASE("a lower priority number is more urgent, and long work is Long at any priority")
{
    WorkClassifier classifier({});
    const AccountId account("a");
    for (int priority = 0; priority <= 9; ++priority) {
        CHECK(classifier.classify({ account, priority, 512, 100 }) == (priority <= 2 ? WorkClass::Urgent : WorkClass::Standard));
        CHECK(classifier.classify({ account, priority, 4096, 100 }) == WorkClass::Long);
    }
    classifier.setMaxShortTokens(256);
    CHECK(classifier.classify({ account, 5, 256, 100 }) == WorkClass::Standard);
    CHECK(classifier.classify({ account, 0, 257, 100 }) == WorkClass::Long);
}
