#include "EngineOrder.h"

#include <algorithm>

namespace borageslip {

nlohmann::json EngineOrder::toJson() const
{
    nlohmann::json body { { "order", kind == Kind::LoadModel ? "load_model" : "unload_model" }, { "model", model.text() } };
    if (!version.empty())
        body["version"] = version;
    return body;
}

bool EngineReport::hasModel(const ModelId& model) const
{
    return std::ranges::find(models, model) != models.end();
}

std::optional<EngineOrder> decideOrder(const FleetConfiguration& configuration, const EngineId& id, const EngineReport& report, const LoadedVersions& loaded, const std::function<size_t(const ModelId&)>& otherEnginesServing)
{
    const auto* engine = configuration.engine(id);
    if (!engine || report.isLeaving)
        return std::nullopt;
    const auto isWanted = [&](const ModelId& model) { return std::ranges::find(engine->models, model) != engine->models.end(); };
    const auto canUnload = [&](const ModelId& model) {
        const auto* settings = configuration.model(model);
        return !settings || otherEnginesServing(model) >= settings->minimumEngines;
    };
    for (const auto& model : report.models) {
        if (!isWanted(model) && canUnload(model))
            return EngineOrder { EngineOrder::Kind::UnloadModel, model, "", true };
    }
    for (const auto& model : engine->models) {
        const auto& version = configuration.model(model)->version;
        if (!report.hasModel(model))
            return EngineOrder { EngineOrder::Kind::LoadModel, model, version, false };
        const auto known = loaded.find(model);
        const bool isVersionOutdated = known != loaded.end() && known->second != version;
        if (isVersionOutdated && canUnload(model))
            return EngineOrder { EngineOrder::Kind::LoadModel, model, version, true };
    }
    return std::nullopt;
}

}
