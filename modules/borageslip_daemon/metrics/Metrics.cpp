#include "Metrics.h"

#include <atomic>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace borageslip {

namespace {

    using Buckets = prometheus::Histogram::BucketBoundaries;

    // All instances use the same bucket boundaries, so that their histograms can be added exactly.
    const Buckets& firstTokenBuckets()
    {
        static const Buckets s_buckets { 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10, 30 };
        return s_buckets;
    }

    const Buckets& betweenTokensBuckets()
    {
        static const Buckets s_buckets { 0.005, 0.01, 0.02, 0.03, 0.043, 0.06, 0.09, 0.15, 0.3, 0.6, 1.2, 5 };
        return s_buckets;
    }

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

struct Metrics::Families {
    explicit Families(prometheus::Registry& registry)
        : calls(prometheus::BuildCounter().Name("borageslip_calls_total").Help("Calls by kind, work class and outcome").Register(registry))
        , firstToken(prometheus::BuildHistogram().Name("borageslip_first_token_seconds").Help("Time from the request to its first token").Register(registry).Add({}, firstTokenBuckets()))
        , betweenTokens(prometheus::BuildHistogram().Name("borageslip_between_tokens_seconds").Help("Time between tokens of a stream").Register(registry).Add({}, betweenTokensBuckets()))
        , queueWait(prometheus::BuildHistogram().Name("borageslip_queue_wait_seconds").Help("Time that a request waited for admission at the home").Register(registry).Add({}, firstTokenBuckets()))
        , redirects(prometheus::BuildCounter().Name("borageslip_redirects_total").Help("Requests that a home sent on to another engine, by reason").Register(registry))
        , retries(prometheus::BuildCounter().Name("borageslip_retries_total").Help("Attempts after the first, by reason").Register(registry))
        , attempts(prometheus::BuildCounter().Name("borageslip_attempts_total").Help("Runs on engines by how they ended").Register(registry))
        , resumes(prometheus::BuildCounter().Name("borageslip_resumes_total").Help("Streams resumed over a new connection").Register(registry).Add({}))
        , droppedChunks(prometheus::BuildCounter().Name("borageslip_dropped_chunks_total").Help("Chunks dropped because they came late or for another request").Register(registry).Add({}))
        , promptTokens(prometheus::BuildCounter().Name("borageslip_prompt_tokens_total").Help("Prompt tokens of answered chats").Register(registry).Add({}))
        , cachedTokens(prometheus::BuildCounter().Name("borageslip_cached_tokens_total").Help("Prompt tokens that engines reused from their cache").Register(registry).Add({}))
        , inProgress(prometheus::BuildGauge().Name("borageslip_calls_in_progress").Help("Calls being served").Register(registry).Add({}))
        , revision(prometheus::BuildGauge().Name("borageslip_configuration_revision").Help("Revision of the configuration in force").Register(registry).Add({}))
        , members(prometheus::BuildGauge().Name("borageslip_members").Help("Members of the fleet by state").Register(registry))
        , controlBytes(prometheus::BuildGauge().Name("borageslip_control_bytes").Help("Control traffic since the start by kind and direction").Register(registry))
        , storeCalls(prometheus::BuildGauge().Name("borageslip_store_calls").Help("Calls to the platform's store since the start by kind").Register(registry))
        , homeEngines(prometheus::BuildGauge().Name("borageslip_home_engines").Help("Engines whose home is this instance").Register(registry).Add({}))
        , homeRunning(prometheus::BuildGauge().Name("borageslip_home_running").Help("Requests running on the engines at home here").Register(registry).Add({}))
        , homeQueued(prometheus::BuildGauge().Name("borageslip_home_queued").Help("Requests waiting for the engines at home here").Register(registry).Add({}))
        , violations(prometheus::BuildGauge().Name("borageslip_invariant_violations").Help("Invariant violations since the start").Register(registry).Add({}))
        , objectives(prometheus::BuildCounter().Name("borageslip_objective_events_total").Help("Events that count for an objective, by whether they met it").Register(registry))
        , objectiveTargets(prometheus::BuildGauge().Name("borageslip_objective_target").Help("Share of events that must meet an objective").Register(registry))
    {
    }

    prometheus::Family<prometheus::Counter>& calls;
    prometheus::Histogram& firstToken;
    prometheus::Histogram& betweenTokens;
    prometheus::Histogram& queueWait;
    prometheus::Family<prometheus::Counter>& redirects;
    prometheus::Family<prometheus::Counter>& retries;
    prometheus::Family<prometheus::Counter>& attempts;
    prometheus::Counter& resumes;
    prometheus::Counter& droppedChunks;
    prometheus::Counter& promptTokens;
    prometheus::Counter& cachedTokens;
    prometheus::Gauge& inProgress;
    prometheus::Gauge& revision;
    prometheus::Family<prometheus::Gauge>& members;
    prometheus::Family<prometheus::Gauge>& controlBytes;
    prometheus::Family<prometheus::Gauge>& storeCalls;
    prometheus::Gauge& homeEngines;
    prometheus::Gauge& homeRunning;
    prometheus::Gauge& homeQueued;
    prometheus::Gauge& violations;
    prometheus::Family<prometheus::Counter>& objectives;
    prometheus::Family<prometheus::Gauge>& objectiveTargets;
    std::atomic<int> callsInProgress { 0 };
};

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_families(std::make_unique<Families>(*m_registry))
{
}

Metrics::~Metrics() = default;

void Metrics::callEnded(const CallOutcome& outcome)
{
    const std::string result(outcome.failure ? errorTraits(*outcome.failure).name : "ok");
    m_families->calls.Add({ { "kind", std::string(outcome.kind) }, { "class", std::string(outcome.workClass) }, { "outcome", result } }).Increment();
}

void Metrics::firstToken(Duration sinceReceived) { m_families->firstToken.Observe(seconds(sinceReceived)); }
void Metrics::betweenTokens(Duration gap) { m_families->betweenTokens.Observe(seconds(gap)); }
void Metrics::queueWait(Duration wait) { m_families->queueWait.Observe(seconds(wait)); }
void Metrics::redirected(std::string_view reason) { m_families->redirects.Add({ { "reason", std::string(reason) } }).Increment(); }
void Metrics::retried(std::string_view reason) { m_families->retries.Add({ { "reason", std::string(reason) } }).Increment(); }

void Metrics::attemptEnded(const AttemptResult& end)
{
    const std::string result(end.error ? errorTraits(end.error->kind).name : "ok");
    m_families->attempts.Add({ { "outcome", result } }).Increment();
    m_families->resumes.Increment(end.resumes);
    m_families->droppedChunks.Increment(static_cast<double>(end.droppedChunks));
}

void Metrics::promptTokens(uint64_t prompt, uint64_t cached)
{
    m_families->promptTokens.Increment(static_cast<double>(prompt));
    m_families->cachedTokens.Increment(static_cast<double>(cached));
}

void Metrics::callsInProgress(int change)
{
    m_families->callsInProgress += change;
    m_families->inProgress.Increment(change);
}

int Metrics::inProgress() const { return m_families->callsInProgress; }
void Metrics::setConfigurationRevision(uint64_t revision) { m_families->revision.Set(static_cast<double>(revision)); }
void Metrics::setMembers(std::string_view state, size_t count) { m_families->members.Add({ { "state", std::string(state) } }).Set(static_cast<double>(count)); }

void Metrics::setControlBytes(std::string_view kind, std::string_view direction, uint64_t total)
{
    m_families->controlBytes.Add({ { "kind", std::string(kind) }, { "direction", std::string(direction) } }).Set(static_cast<double>(total));
}

void Metrics::setStoreCalls(std::string_view kind, uint64_t total) { m_families->storeCalls.Add({ { "kind", std::string(kind) } }).Set(static_cast<double>(total)); }

void Metrics::setEngine(int running, size_t queued, size_t engines)
{
    m_families->homeRunning.Set(running);
    m_families->homeQueued.Set(static_cast<double>(queued));
    m_families->homeEngines.Set(static_cast<double>(engines));
}

void Metrics::objective(std::string_view objective, uint64_t met, uint64_t missed)
{
    if (met > 0)
        m_families->objectives.Add({ { "objective", std::string(objective) }, { "met", "true" } }).Increment(static_cast<double>(met));
    if (missed > 0)
        m_families->objectives.Add({ { "objective", std::string(objective) }, { "met", "false" } }).Increment(static_cast<double>(missed));
}

void Metrics::setObjectiveTarget(std::string_view objective, double target)
{
    m_families->objectiveTargets.Add({ { "objective", std::string(objective) } }).Set(target);
}

std::string Metrics::text() const
{
    m_families->violations.Set(static_cast<double>(invariantViolations()));
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, m_registry->Collect());
    return text.str();
}

}
