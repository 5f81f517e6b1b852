#include "Plan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace borageslip {

namespace {

    // The platform's store accepts values of at most one megabyte.
    constexpr size_t maxDocumentBytes = 1'000'000;

    // A change of a quarter of a model's engines or chats at once exceeds the usual spare capacity of a day.
    constexpr double largeChangeShare = 0.25;

    std::string newIdentity(uint64_t baseRevision)
    {
        std::random_device device;
        std::string identity = std::to_string(baseRevision) + "-";
        constexpr std::string_view hex = "0123456789abcdef";
        for (int i = 0; i < 32; ++i)
            identity += hex[device() & 15];
        return identity;
    }

    const FleetConfiguration& emptyConfiguration()
    {
        static const auto s_empty = value(FleetConfiguration::parse(R"({"models":{},"accounts":{}})"));
        return *s_empty;
    }

    std::map<EngineId, double> weightsOf(const FleetConfiguration& configuration, const ModelId& model)
    {
        std::map<EngineId, double> weights;
        if (const auto* settings = configuration.model(model)) {
            for (const auto& id : settings->engines)
                weights[id] = configuration.engine(id)->weight;
        }
        return weights;
    }

    uint64_t totalSlots(const FleetConfiguration& configuration, const ModelId& model)
    {
        uint64_t slots = 0;
        if (const auto* settings = configuration.model(model)) {
            for (const auto& id : settings->engines)
                slots += configuration.engine(id)->slots;
        }
        return slots;
    }

    std::set<ModelId> modelsOf(const FleetConfiguration& configuration, const EngineId& id)
    {
        const auto* engine = configuration.engine(id);
        return engine ? std::set<ModelId>(engine->models.begin(), engine->models.end()) : std::set<ModelId> {};
    }

    template <typename Id, typename Settings>
    std::set<Id> unionOfIds(const std::map<Id, Settings>& before, const std::map<Id, Settings>& after)
    {
        std::set<Id> ids;
        for (const auto* side : { &before, &after }) {
            for (const auto& [id, settings] : *side)
                ids.insert(id);
        }
        return ids;
    }

    std::vector<EngineChange> engineChanges(const FleetConfiguration& before, const FleetConfiguration& after)
    {
        std::vector<EngineChange> changes;
        for (const auto& id : unionOfIds(before.engines(), after.engines())) {
            EngineChange change { id, {}, {} };
            const auto old = modelsOf(before, id);
            const auto wanted = modelsOf(after, id);
            const auto isNewVersion = [&](const ModelId& model) { return before.model(model)->version != after.model(model)->version; };
            for (const auto& model : wanted) {
                if (!old.contains(model) || isNewVersion(model))
                    change.loads.push_back(model);
            }
            for (const auto& model : old) {
                if (!wanted.contains(model) || isNewVersion(model))
                    change.drops.push_back(model);
            }
            if (!change.loads.empty() || !change.drops.empty())
                changes.push_back(std::move(change));
        }
        return changes;
    }

    std::vector<ModelCapacity> capacityChanges(const FleetConfiguration& before, const FleetConfiguration& after)
    {
        std::vector<ModelCapacity> capacities;
        for (const auto& model : unionOfIds(before.models(), after.models())) {
            const auto old = weightsOf(before, model);
            const auto wanted = weightsOf(after, model);
            capacities.push_back({ model, old.size(), wanted.size(), totalSlots(before, model), totalSlots(after, model), movedShare(old, wanted) });
        }
        return capacities;
    }

    std::string percent(double share)
    {
        return std::to_string(std::lround(share * 100)) + "%";
    }

    void warnAboutModels(const FleetConfiguration& after, const std::vector<ModelCapacity>& capacities, std::vector<PlanWarning>& warnings)
    {
        using enum PlanWarning::Severity;
        for (const auto& capacity : capacities) {
            const auto path = "/models/" + capacity.model.text();
            const auto* model = after.model(capacity.model);
            if (!model) {
                warnings.push_back({ Warning, path, "the model is removed" });
                continue;
            }
            if (capacity.enginesAfter < model->minimumEngines)
                warnings.push_back({ Breach, path + "/engines", std::to_string(capacity.enginesAfter) + " engines are fewer than minimum_engines " + std::to_string(model->minimumEngines) });
            else if (capacity.enginesAfter == 0 && capacity.enginesBefore > 0)
                warnings.push_back({ Breach, path + "/engines", "no engine is assigned to the model" });
            const auto lostShare = capacity.slotsBefore > capacity.slotsAfter ? static_cast<double>(capacity.slotsBefore - capacity.slotsAfter) / static_cast<double>(capacity.slotsBefore) : 0.0;
            if (lostShare >= largeChangeShare)
                warnings.push_back({ Warning, path + "/engines", "capacity decreases by " + percent(lostShare) });
            if (capacity.enginesBefore > 0 && capacity.movedChatShare >= largeChangeShare)
                warnings.push_back({ Warning, path + "/engines", percent(capacity.movedChatShare) + " of the chats move to another engine and lose their cached prefix" });
        }
    }

    void warnAboutAccounts(const FleetConfiguration& before, const FleetConfiguration& after, const PlanContext& context, std::vector<PlanWarning>& warnings)
    {
        for (const auto& [id, settings] : before.accounts()) {
            if (after.account(id))
                continue;
            const bool isInUse = context.accountsInUse.contains(id);
            const auto severity = isInUse ? PlanWarning::Severity::Breach : PlanWarning::Severity::Warning;
            warnings.push_back({ severity, "/accounts/" + id.text(), isInUse ? "the account is removed while it is in use" : "the account is removed" });
        }
    }

}

double movedShare(const std::map<EngineId, double>& before, const std::map<EngineId, double>& after)
{
    if (before.empty() || after.empty())
        return before.empty() && after.empty() ? 0 : 1;
    // An engine e keeps a key if it has the highest score before and after. A score is the weight divided by an
    // exponential random variable, so the probability of that is
    // 1 / (1 + sum over the other engines f of max(before_f / before_e, after_f / after_e)).
    bool areWeightsUnchanged = true;
    double unionWeight = 0;
    double commonWeight = 0;
    for (const auto& [id, weight] : before) {
        const auto other = after.find(id);
        areWeightsUnchanged = areWeightsUnchanged && (other == after.end() || other->second == weight);
        unionWeight += weight;
        commonWeight += other == after.end() ? 0 : weight;
    }
    for (const auto& [id, weight] : after)
        unionWeight += before.contains(id) ? 0 : weight;
    if (areWeightsUnchanged)
        return 1 - commonWeight / unionWeight;
    double kept = 0;
    for (const auto& [id, weight] : before) {
        const auto own = after.find(id);
        if (own == after.end())
            continue;
        double sum = 1;
        for (const auto& [otherId, otherWeight] : before) {
            const auto later = after.find(otherId);
            if (otherId != id)
                sum += std::max(otherWeight / weight, later == after.end() ? 0.0 : later->second / own->second);
        }
        for (const auto& [otherId, otherWeight] : after)
            sum += before.contains(otherId) ? 0 : otherWeight / own->second;
        kept += 1 / sum;
    }
    return 1 - kept;
}

PlanBuilder::PlanBuilder(PlanContext context)
    : m_context(std::move(context))
{
}

nlohmann::json PlanBuilder::targetDocument(const Intent& intent, const PlanBase& base, std::string_view identity)
{
    auto document = base.configuration ? base.configuration->document() : nlohmann::json { { "models", nlohmann::json::object() }, { "accounts", nlohmann::json::object() } };
    document.merge_patch(intent.patch);
    document["plan"] = identity;
    return document;
}

Result<Plan> PlanBuilder::build(const Intent& intent, const PlanBase& base) const
{
    return rebuild(intent, base, newIdentity(base.revision));
}

Result<Plan> PlanBuilder::rebuild(const Intent& intent, const PlanBase& base, std::string_view identity) const
{
    const auto document = targetDocument(intent, base, identity);
    const auto target = FleetConfiguration::fromDocument(document);
    if (!isOk(target))
        return Error { ErrorKind::InvalidIntent, error(target).detail };
    const auto& after = *value(target);
    if (after.text().size() > maxDocumentBytes)
        return Error { ErrorKind::InvalidIntent, "the resulting configuration has " + std::to_string(after.text().size()) + " bytes; the store accepts at most " + std::to_string(maxDocumentBytes) };
    const auto& before = base.configuration ? *base.configuration : emptyConfiguration();
    Plan plan;
    plan.identity = identity;
    plan.baseRevision = base.revision;
    plan.baseDigest = base.configuration ? base.configuration->digest() : 0;
    plan.digest = after.digest();
    plan.intent = intent;
    plan.changes = documentDifference(before.document(), after.document());
    if (plan.changes.empty())
        return Error { ErrorKind::InvalidIntent, "the intent does not change the configuration" };
    plan.engines = engineChanges(before, after);
    plan.capacity = capacityChanges(before, after);
    warnAboutModels(after, plan.capacity, plan.warnings);
    warnAboutAccounts(before, after, m_context, plan.warnings);
    return plan;
}

}
