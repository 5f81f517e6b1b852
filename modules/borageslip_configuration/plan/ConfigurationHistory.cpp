#include "ConfigurationHistory.h"

#include "../distribution/ConfigurationWatcher.h"

#include <ctime>

namespace borageslip {

namespace {

    // Covers more than a day at 13,000 changes a day.
    constexpr size_t maxUndoDepth = 20000;

    std::string historyKey(uint64_t revision)
    {
        return "borageslip/history/" + std::to_string(revision);
    }

    std::string isoTime(std::chrono::system_clock::time_point time)
    {
        const auto seconds = std::chrono::system_clock::to_time_t(time);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 32> text {};
        const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
        return { text.data(), length };
    }

    std::string stringMember(const nlohmann::json& object, const char* name)
    {
        const auto found = object.find(name);
        return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

}

Result<PlanBase> readPlanBase(KeyValueStore& store)
{
    const auto reading = store.read(configurationKey);
    if (!isOk(reading))
        return error(reading);
    const auto& stored = value(reading).value;
    if (!stored)
        return PlanBase {};
    auto configuration = FleetConfiguration::parse(stored->bytes);
    if (!isOk(configuration))
        return error(configuration);
    return PlanBase { stored->modifyIndex, value(std::move(configuration)) };
}

ConfigurationHistory::ConfigurationHistory(KeyValueStore& store, const Clock& clock)
    : m_store(store)
    , m_clock(clock)
{
}

Result<HistoryEntry> ConfigurationHistory::read(uint64_t revision) const
{
    const auto reading = m_store.read(historyKey(revision));
    if (!isOk(reading))
        return error(reading);
    if (!value(reading).value)
        return Error { ErrorKind::NotFound, "no history entry for revision " + std::to_string(revision) };
    const auto json = nlohmann::json::parse(value(reading).value->bytes, nullptr, false);
    if (!json.is_object() || !json.contains("document") || !json["document"].is_object())
        return Error { ErrorKind::NotFound, "malformed history entry for revision " + std::to_string(revision) };
    const auto confirmed = json.find("confirmed");
    return HistoryEntry { revision, json["document"], stringMember(json, "plan"), stringMember(json, "operator"), stringMember(json, "reason"), stringMember(json, "time"), confirmed != json.end() && *confirmed == true };
}

Result<std::vector<HistoryEntry>> ConfigurationHistory::entriesBefore(const nlohmann::json& current, size_t limit) const
{
    std::vector<HistoryEntry> entries;
    auto identity = current.value("plan", "");
    while (entries.size() < limit) {
        const auto base = Plan::baseRevisionOf(identity);
        if (!base || *base == 0)
            return entries;
        auto entry = read(*base);
        if (!isOk(entry) && error(entry).kind == ErrorKind::NotFound)
            return entries;
        if (!isOk(entry))
            return error(entry);
        entries.push_back(value(std::move(entry)));
        // Another plan with the same base may have recorded the document first; then the entry describes that plan.
        auto& newest = entries.back();
        if (newest.replacedBy != identity)
            newest.operatorName = newest.reason = newest.time = "";
        newest.replacedBy = identity;
        identity = newest.planOfDocument();
    }
    return entries;
}

nlohmann::json ConfigurationHistory::makeEntry(uint64_t revision, const nlohmann::json& document, const Plan& plan, bool isConfirmed) const
{
    return { { "revision", revision }, { "document", document }, { "plan", plan.identity }, { "operator", plan.intent.operatorName }, { "reason", plan.intent.reason }, { "time", isoTime(m_clock.wallTime()) }, { "confirmed", isConfirmed } };
}

Status ConfigurationHistory::record(const PlanBase& base, const Plan& plan) const
{
    if (base.revision == 0)
        return ok();
    const auto key = historyKey(base.revision);
    const auto written = m_store.compareAndSwap(key, makeEntry(base.revision, base.configuration->document(), plan, false).dump(), 0);
    // A conflict means that another plan with the same base has already recorded the same document.
    if (isOk(written) || error(written).kind == ErrorKind::RevisionConflict)
        return ok();
    if (error(written).kind != ErrorKind::StoreOutcomeUnknown)
        return error(written);
    const auto entry = read(base.revision);
    if (!isOk(entry))
        return Error { ErrorKind::StoreUnavailable, "the base document could not be written to the history: " + error(entry).detail };
    return ok();
}

Status ConfigurationHistory::markConfirmed(const Plan& plan) const
{
    if (plan.baseRevision == 0)
        return ok();
    const auto key = historyKey(plan.baseRevision);
    const auto reading = m_store.read(key);
    if (!isOk(reading))
        return error(reading);
    const auto& stored = value(reading).value;
    const auto json = stored ? nlohmann::json::parse(stored->bytes, nullptr, false) : nlohmann::json();
    if (!json.is_object() || !json.contains("document"))
        return Error { ErrorKind::NotFound, "no valid history entry under " + key };
    const auto confirmed = json.find("confirmed");
    if (confirmed != json.end() && *confirmed == true)
        return ok();
    const auto written = m_store.compareAndSwap(key, makeEntry(plan.baseRevision, json["document"], plan, true).dump(), stored->modifyIndex);
    if (!isOk(written))
        return error(written);
    return ok();
}

Result<Intent> ConfigurationHistory::undoIntent(std::string_view identity, std::string_view operatorName, std::string_view reason) const
{
    const auto base = readPlanBase(m_store);
    if (!isOk(base))
        return error(base);
    if (!value(base).configuration)
        return Error { ErrorKind::NotFound, "the store holds no configuration" };
    const auto& current = value(base).configuration->document();
    const auto entries = entriesBefore(current, identity.empty() ? 1 : maxUndoDepth);
    if (!isOk(entries))
        return error(entries);
    const nlohmann::json* after = &current;
    for (const auto& entry : value(entries)) {
        if (!identity.empty() && entry.replacedBy != identity) {
            after = &entry.document;
            continue;
        }
        const auto patch = mergePatchBetween(*after, entry.document);
        auto reverted = current;
        reverted.merge_patch(patch);
        // The plan can be reverted only if all fields that it changed still have the values that it set.
        const auto undone = documentDifference(*after, entry.document);
        if (documentDifference(current, reverted) != undone)
            return Error { ErrorKind::StalePlan, "later plans changed the same fields:\n" + describeChanges(documentDifference(*after, current)) };
        return Intent { patch, std::string(operatorName), std::string(reason) };
    }
    return Error { ErrorKind::NotFound, identity.empty() ? "the configuration history is empty" : "no plan " + std::string(identity) + " in the history" };
}

}
