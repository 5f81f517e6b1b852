#include "PlanConfirmation.h"

#include "../distribution/ConfigurationWatcher.h"

#include <algorithm>

namespace borageslip {

namespace {

    // Limits the reads of one search through the history; the outcome of a plan further back is reported as unknown.
    constexpr size_t maxHistoryDepth = 2000;

}

class PlanConfirmation::Attempt {
public:
    Attempt(PlanConfirmation& owner, const Plan& plan)
        : m_owner(owner)
        , m_plan(plan)
        , m_history(owner.m_store, owner.m_clock)
        , m_chart(StateChart::named("plan"))
    {
    }

    Result<Confirmation> run();

private:
    using Handler = std::string_view (Attempt::*)();

    std::string_view check();
    std::string_view readBack();
    std::string_view record();
    std::string_view write();
    std::string_view inspectStore();
    std::string_view checkBase(PlanBase);
    std::string_view searchHistory(const nlohmann::json& current);
    std::string_view fail(std::string_view event, Error);

    PlanConfirmation& m_owner;
    const Plan& m_plan;
    ConfigurationHistory m_history;
    StateChartInstance m_chart;
    PlanBase m_base;
    std::string m_target;
    Confirmation m_confirmation;
    Error m_error;
    size_t m_readBackCount = 0;
};

Result<Confirmation> PlanConfirmation::Attempt::run()
{
    static const std::map<std::string, Handler, std::less<>> s_handlers {
        { "checking", &Attempt::check },
        { "recording", &Attempt::record },
        { "writing", &Attempt::write },
        { "reading-back", &Attempt::readBack },
        { "rewriting", &Attempt::write },
    };
    while (!m_chart.isFinal()) {
        const auto event = (this->*s_handlers.at(m_chart.current()))();
        if (const auto status = m_chart.fire(event); !isOk(status))
            return error(status);
    }
    if (m_chart.isIn("unknown"))
        return Error { ErrorKind::StoreOutcomeUnknown, "the plan may have taken effect; confirm it again to find out: " + m_error.detail };
    if (!m_chart.isIn("confirmed"))
        return m_error;
    // The chain of plan identities also shows which plan replaced the base, so a failure here only makes a
    // later search longer.
    if (const auto status = m_history.markConfirmed(m_plan); !isOk(status))
        logEvent(Severity::Warning, "history-not-marked", { { "plan", m_plan.identity }, { "detail", error(status).detail } });
    return m_confirmation;
}

std::string_view PlanConfirmation::Attempt::fail(std::string_view event, Error failure)
{
    m_error = std::move(failure);
    return event;
}

std::string_view PlanConfirmation::Attempt::check()
{
    return inspectStore();
}

std::string_view PlanConfirmation::Attempt::readBack()
{
    while (m_readBackCount < m_owner.m_settings.maxReadBacks) {
        ++m_readBackCount;
        if (m_owner.m_settings.waitBeforeReadBack)
            m_owner.m_settings.waitBeforeReadBack();
        if (const auto event = inspectStore(); event != "unreadable")
            return event;
    }
    return "unreadable";
}

std::string_view PlanConfirmation::Attempt::inspectStore()
{
    const auto reading = m_owner.m_store.read(configurationKey);
    if (!isOk(reading))
        return fail("unreadable", error(reading));
    const auto& stored = value(reading).value;
    const uint64_t revision = stored ? stored->modifyIndex : 0;
    if (!stored && m_plan.baseRevision == 0)
        return checkBase({});
    const auto document = stored ? nlohmann::json::parse(stored->bytes, nullptr, false) : nlohmann::json::object();
    if (!document.is_object())
        return fail("moved", { ErrorKind::StalePlan, "the stored configuration is not valid JSON" });
    if (document.value("plan", "") == m_plan.identity) {
        m_confirmation = { revision, false };
        return "found";
    }
    if (revision < m_plan.baseRevision)
        return fail("moved", { ErrorKind::StalePlan, "the store holds revision " + std::to_string(revision) + ", which is lower than the plan's base " + std::to_string(m_plan.baseRevision) });
    if (revision != m_plan.baseRevision)
        return searchHistory(document);
    auto configuration = FleetConfiguration::fromDocument(document);
    if (!isOk(configuration))
        return fail("moved", { ErrorKind::StalePlan, error(configuration).detail });
    return checkBase({ revision, value(std::move(configuration)) });
}

std::string_view PlanConfirmation::Attempt::checkBase(PlanBase base)
{
    m_base = std::move(base);
    const uint64_t digest = m_base.configuration ? m_base.configuration->digest() : 0;
    if (digest != m_plan.baseDigest)
        return fail("moved", { ErrorKind::StalePlan, "the stored document at the base revision differs from the one that the plan is based on" });
    const auto plan = PlanBuilder(m_owner.m_settings.context).rebuild(m_plan.intent, m_base, m_plan.identity);
    if (!isOk(plan))
        return fail("moved", error(plan));
    if (value(plan).digest != m_plan.digest)
        return fail("moved", { ErrorKind::InvalidIntent, "the document that results from the plan's intent does not match the digest in the plan" });
    if (value(plan).hasBreach() && m_owner.m_settings.breaches == BreachPolicy::Refuse) {
        std::string detail = "the plan has breaches:";
        for (const auto& warning : value(plan).warnings) {
            if (warning.severity == PlanWarning::Severity::Breach)
                detail += "\n" + warning.path + ": " + warning.text;
        }
        return fail("moved", { ErrorKind::InvalidIntent, detail });
    }
    m_target = PlanBuilder::targetDocument(m_plan.intent, m_base, m_plan.identity).dump();
    return "unchanged";
}

std::string_view PlanConfirmation::Attempt::searchHistory(const nlohmann::json& current)
{
    std::string changedSinceBase;
    if (const auto base = m_history.read(m_plan.baseRevision); isOk(base)) {
        changedSinceBase = describeChanges(documentDifference(value(base).document, current));
        if (value(base).isConfirmed && value(base).replacedBy != m_plan.identity)
            return fail("moved", { ErrorKind::StalePlan, "another plan replaced the base revision; changes since then:\n" + changedSinceBase });
    }
    auto identity = current.value("plan", "");
    for (size_t depth = 0; depth < maxHistoryDepth; ++depth) {
        const auto revision = Plan::baseRevisionOf(identity);
        if (!revision)
            break;
        if (*revision <= m_plan.baseRevision)
            return fail("moved", { ErrorKind::StalePlan, "another plan replaced the base revision; changes since then:\n" + changedSinceBase });
        const auto entry = m_history.read(*revision);
        if (!isOk(entry) && error(entry).kind != ErrorKind::NotFound)
            return fail("unreadable", error(entry));
        if (!isOk(entry))
            break;
        identity = value(entry).planOfDocument();
        if (identity == m_plan.identity) {
            m_confirmation = { *revision, true };
            return "found";
        }
    }
    return fail("unreadable", { ErrorKind::StoreOutcomeUnknown, "the configuration history is incomplete after revision " + std::to_string(m_plan.baseRevision) });
}

std::string_view PlanConfirmation::Attempt::record()
{
    const auto status = m_history.record(m_base, m_plan);
    return isOk(status) ? "recorded" : fail("unwritable", error(status));
}

std::string_view PlanConfirmation::Attempt::write()
{
    const auto written = m_owner.m_store.compareAndSwap(configurationKey, m_target, m_plan.baseRevision);
    if (isOk(written)) {
        m_confirmation = { value(written), false };
        return "accepted";
    }
    const auto& failure = error(written);
    if (failure.kind == ErrorKind::RevisionConflict)
        return "conflict";
    return fail(failure.kind == ErrorKind::StoreOutcomeUnknown ? "answer-lost" : "unwritable", failure);
}

PlanConfirmation::PlanConfirmation(KeyValueStore& store, const Clock& clock, Settings settings)
    : m_store(store)
    , m_clock(clock)
    , m_settings(std::move(settings))
{
}

Result<Confirmation> PlanConfirmation::confirm(const Plan& plan)
{
    return Attempt(*this, plan).run();
}

}
