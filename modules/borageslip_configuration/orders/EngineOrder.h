#pragma once

#include "../document/FleetConfiguration.h"

#include <functional>

namespace borageslip {

/** One order to an engine. */
struct EngineOrder {
    enum class Kind {
        LoadModel,
        UnloadModel,
    };

    Kind kind = Kind::LoadModel;
    ModelId model;
    std::string version;
    /** Whether the engine stops serving the model, if only until a new version is loaded. */
    bool reducesCapacity = false;

    /** Body of POST /v1/orders. */
    nlohmann::json toJson() const;
    bool operator==(const EngineOrder&) const = default;
};

/** What an engine says of itself. */
struct EngineReport {
    std::vector<ModelId> models;
    bool isLeaving = false;

    bool hasModel(const ModelId&) const;
};

using LoadedVersions = std::map<ModelId, std::string>;

/** Decides the next order to an engine: drops come first to make room, and a drop waits while it would leave fewer
    than `minimum_engines` other engines that serve the model. Pure.
    @param otherEnginesServing number of other live engines that serve a model now. */
std::optional<EngineOrder> decideOrder(const FleetConfiguration&, const EngineId&, const EngineReport&, const LoadedVersions&, const std::function<size_t(const ModelId&)>& otherEnginesServing);

}
