#include "ObjectiveTracker.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr const char* chatService = "chat";
    constexpr const char* otherCause = "other";

    nlohmann::json toJson(const ObjectiveCounts& counts) { return { { "met", counts.met }, { "missed", counts.missed } }; }

    template <typename T>
    nlohmann::json milliseconds(const std::optional<T>& duration)
    {
        return duration ? nlohmann::json(duration->count()) : nlohmann::json();
    }

    nlohmann::json toJson(const Objective& objective)
    {
        return {
            { "name", objective.name },
            { "service", objective.service ? nlohmann::json(*objective.service) : nlohmann::json() },
            { "account", objective.account ? nlohmann::json(objective.account->text()) : nlohmann::json() },
            { "priority", objective.priority ? nlohmann::json(*objective.priority) : nlohmann::json() },
            { "first_token_ms", milliseconds(objective.firstToken) },
            { "between_tokens_ms", milliseconds(objective.betweenTokens) },
            { "target", objective.target },
        };
    }

}

std::vector<Objective> defaultObjectives()
{
    Objective firstToken;
    firstToken.name = "first-token";
    firstToken.firstToken = std::chrono::seconds(2);
    Objective betweenTokens;
    betweenTokens.name = "between-tokens";
    betweenTokens.betweenTokens = std::chrono::milliseconds(43);
    return { firstToken, betweenTokens };
}

bool appliesTo(const Objective& objective, const ObjectiveCaller& caller)
{
    const bool isForTokens = objective.firstToken || objective.betweenTokens;
    if (objective.service ? *objective.service != caller.service : isForTokens && caller.service != chatService)
        return false;
    return (!objective.account || *objective.account == caller.account) && (!objective.priority || *objective.priority == caller.priority);
}

bool isCountedFailure(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::MalformedRequest:
    case ErrorKind::RequestTooLarge:
    case ErrorKind::Unauthenticated:
    case ErrorKind::Forbidden:
    case ErrorKind::NotFound:
    case ErrorKind::UnknownModel:
    case ErrorKind::IdempotencyKeyMissing:
    case ErrorKind::IdempotencyKeyReused:
    case ErrorKind::RateLimited:
    case ErrorKind::Cancelled:
        return false;
    default:
        return true;
    }
}

ObjectiveTracker::ObjectiveTracker(TimePoint startedAt)
    : m_startedAt(startedAt)
{
    setObjectives({});
}

void ObjectiveTracker::setObjectives(std::vector<Objective> objectives)
{
    if (objectives.empty())
        objectives = defaultObjectives();
    const std::lock_guard lock(m_mutex);
    if (m_objectives && *m_objectives == objectives)
        return;
    std::vector<std::unique_ptr<Series>> series(objectives.size());
    for (size_t i = 0; m_objectives && i < objectives.size(); ++i) {
        const auto unchanged = std::find(m_objectives->begin(), m_objectives->end(), objectives[i]);
        if (unchanged != m_objectives->end())
            series[i] = std::move(m_series[static_cast<size_t>(unchanged - m_objectives->begin())]);
    }
    m_series = std::move(series);
    m_objectives = std::make_shared<const std::vector<Objective>>(std::move(objectives));
    m_causes = 0;
    for (const auto& entry : m_series)
        m_causes += entry ? entry->kinds.size() + entry->accounts.size() + entry->engines.size() : 0;
}

ObjectiveTracker::Objectives ObjectiveTracker::objectives() const
{
    const std::lock_guard lock(m_mutex);
    return m_objectives;
}

void ObjectiveTracker::add(const Objectives& objectives, size_t index, const ObjectiveEvents& events, TimePoint now)
{
    if (events.counts.total() == 0)
        return;
    const std::lock_guard lock(m_mutex);
    if (objectives != m_objectives)
        return;
    auto& series = m_series[index];
    if (!series)
        series = std::make_unique<Series>();
    series->recent.add(events.counts, now);
    series->budget.add(events.counts, now);
    if (events.counts.missed == 0)
        return;
    if (m_causes + 3 > maxCauses && now >= m_nextCauseCleanup) {
        m_nextCauseCleanup = now + interval;
        removeIdleCauses(now);
    }
    addCause(series->kinds, std::string(events.cause), events.counts.missed, now);
    addCause(series->accounts, events.caller.account.text(), events.counts.missed, now);
    if (!events.engine.empty())
        addCause(series->engines, events.engine, events.counts.missed, now);
}

void ObjectiveTracker::addCause(Causes& causes, const std::string& name, uint64_t missed, TimePoint now)
{
    auto found = causes.find(name);
    if (found == causes.end()) {
        const bool isFull = m_causes >= maxCauses;
        const auto [added, isNew] = causes.try_emplace(isFull ? otherCause : name, static_cast<size_t>(slowWindow / interval), interval);
        m_causes += isNew ? 1 : 0;
        found = added;
    }
    found->second.add({ 0, missed }, now);
}

void ObjectiveTracker::removeIdleCauses(TimePoint now)
{
    m_causes = 0;
    for (const auto& series : m_series) {
        if (!series)
            continue;
        for (auto* causes : { &series->kinds, &series->accounts, &series->engines }) {
            std::erase_if(*causes, [&](const auto& cause) { return cause.second.sum(now).total() == 0; });
            m_causes += causes->size();
        }
    }
}

nlohmann::json ObjectiveTracker::describe(TimePoint now) const
{
    const auto causesToJson = [&](const Causes& causes) {
        auto list = nlohmann::json::object();
        for (const auto& [name, ring] : causes) {
            const auto fast = ring.sum(fastWindow, now).missed;
            const auto slow = ring.sum(slowWindow, now).missed;
            if (slow > 0)
                list[name] = { { "fast", fast }, { "slow", slow } };
        }
        return list;
    };
    const std::lock_guard lock(m_mutex);
    auto list = nlohmann::json::array();
    const Series none;
    for (size_t i = 0; i < m_objectives->size(); ++i) {
        const auto& series = m_series[i] ? *m_series[i] : none;
        auto entry = toJson((*m_objectives)[i]);
        entry["fast"] = toJson(series.recent.sum(fastWindow, now));
        entry["slow"] = toJson(series.recent.sum(slowWindow, now));
        entry["budget"] = toJson(series.budget.sum(now));
        entry["intervals"] = nlohmann::json::array();
        for (const auto& counts : series.recent.intervals(now))
            entry["intervals"].push_back({ counts.met, counts.missed });
        entry["causes"] = { { "kinds", causesToJson(series.kinds) }, { "accounts", causesToJson(series.accounts) }, { "engines", causesToJson(series.engines) } };
        list.push_back(std::move(entry));
    }
    return { { "uptime_s", std::chrono::duration_cast<std::chrono::seconds>(now - m_startedAt).count() }, { "interval_s", interval.count() }, { "objectives", std::move(list) } };
}

size_t ObjectiveTracker::causes() const
{
    const std::lock_guard lock(m_mutex);
    return m_causes;
}

}
