#pragma once

#include "../document/FleetConfiguration.h"
#include "DocumentDifference.h"
#include "Intent.h"

#include <set>

namespace borageslip {

/** What an engine loads and drops when the plan takes effect. A changed version is in both lists. */
struct EngineChange {
    EngineId engine;
    std::vector<ModelId> loads;
    std::vector<ModelId> drops;
};

struct ModelCapacity {
    ModelId model;
    size_t enginesBefore = 0;
    size_t enginesAfter = 0;
    uint64_t slotsBefore = 0;
    uint64_t slotsAfter = 0;
    double movedChatShare = 0; ///< Expected share of the model's chats that get another engine, 0 to 1.
};

struct PlanWarning {
    enum class Severity {
        Warning,
        Breach, ///< Confirmed only when the operator accepts breaches.
    };

    Severity severity = Severity::Warning;
    std::string path;
    std::string text;
};

/** An intent with its exact effects on one revision of the fleet configuration. Immutable after PlanBuilder made it.
    @see PlanBuilder, PlanConfirmation, schemas/plan.schema.json */
struct Plan {
    std::string identity; ///< "<base revision>-<random hex>"; written into the document as "plan".
    uint64_t baseRevision = 0; ///< 0 when no configuration is stored.
    uint64_t baseDigest = 0;
    uint64_t digest = 0; ///< Of the document that the plan writes.
    Intent intent;
    std::vector<FieldChange> changes;
    std::vector<EngineChange> engines;
    std::vector<ModelCapacity> capacity;
    std::vector<PlanWarning> warnings;

    bool hasBreach() const;
    nlohmann::json toJson() const;
    /** Reads the fields that a confirmation needs; the effects are computed anew from them.
        Errors: InvalidIntent. */
    static Result<Plan> parse(std::string_view text);
    /** Returns the base revision in an identity, or nothing when it is not one of a plan. */
    static std::optional<uint64_t> baseRevisionOf(std::string_view identity);
};

/** What the fleet reports and a plan's warnings depend on. */
struct PlanContext {
    std::set<AccountId> accountsInUse;
};

/** A stored configuration on which a plan is built; no configuration when the store holds none. */
struct PlanBase {
    uint64_t revision = 0;
    FleetConfiguration::Pointer configuration;
};

/** Computes the effects of an intent. Stateless; thread-safe. */
class PlanBuilder {
public:
    explicit PlanBuilder(PlanContext context = {});

    /** Errors: InvalidIntent when the resulting document is invalid, too large or the same as the base. */
    Result<Plan> build(const Intent&, const PlanBase&) const;
    /** As build(), for a plan that has an identity already. */
    Result<Plan> rebuild(const Intent&, const PlanBase&, std::string_view identity) const;

    /** Returns the document that the plan writes, its identity included. */
    static nlohmann::json targetDocument(const Intent&, const PlanBase&, std::string_view identity);

private:
    PlanContext m_context;
};

/** Expected share of keys that get another candidate under weighted rendezvous hashing, exactly.
    @param before, after weight by engine. */
double movedShare(const std::map<EngineId, double>& before, const std::map<EngineId, double>& after);

}
