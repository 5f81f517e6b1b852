#pragma once

#include "../document/FleetConfiguration.h"

#include <functional>

namespace borageslip {

/** An order that tells an engine to load or unload one model. */
struct EngineOrder {
    enum class Kind {
        LoadModel,
        UnloadModel,
    };

    Kind kind = Kind::LoadModel;
    ModelId model;
    std::string version;
    /** Whether the engine stops serving the model, either for good or until a new version is loaded. */
    bool reducesCapacity = false;

    /** Returns the request body for POST /v1/orders. */
    nlohmann::json toJson() const;
    bool operator==(const EngineOrder&) const = default;
};

/** The state that an engine reports: its loaded models and whether it is shutting down. */
struct EngineReport {
    std::vector<ModelId> models;
    bool isLeaving = false;

    bool hasModel(const ModelId&) const;
};

using LoadedVersions = std::map<ModelId, std::string>;

/** Returns the next order for an engine, or nothing when no order is needed or allowed now.

    Unloads come first to free memory for loads. An order that takes a model out of service is held back while fewer than
    `minimum_engines` other engines serve the model. Has no side effects.
    @param otherEnginesServing returns the number of other live engines that serve a model now. */
std::optional<EngineOrder> decideOrder(const FleetConfiguration&, const EngineId&, const EngineReport&, const LoadedVersions&, const std::function<size_t(const ModelId&)>& otherEnginesServing);

}
