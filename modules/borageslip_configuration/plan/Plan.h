#pragma once

#include "../document/FleetConfiguration.h"
#include "DocumentDifference.h"
#include "Intent.h"

#include <set>

namespace borageslip {

/** The models that an engine loads and unloads when the plan takes effect. A model whose version changes is in both
    lists. */
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
    double movedChatShare = 0; ///< Expected share of the model's chats that move to another engine, 0 to 1.
};

struct PlanWarning {
    enum class Severity {
        Warning,
        Breach, ///< The plan is confirmed only if the operator accepts breaches.
    };

    Severity severity = Severity::Warning;
    std::string path;
    std::string text;
};

/** An intent and its exact effects on one revision of the fleet configuration. Not modified after PlanBuilder
    creates it.
    @see PlanBuilder, PlanConfirmation, schemas/plan.schema.json */
struct Plan {
    std::string identity; ///< "<base revision>-<random hex>"; written into the document as "plan".
    uint64_t baseRevision = 0; ///< 0 if no configuration is stored.
    uint64_t baseDigest = 0;
    uint64_t digest = 0; ///< Digest of the document that the plan writes.
    Intent intent;
    std::vector<FieldChange> changes;
    std::vector<EngineChange> engines;
    std::vector<ModelCapacity> capacity;
    std::vector<PlanWarning> warnings;

    bool hasBreach() const;
    nlohmann::json toJson() const;
    /** Parses the fields that a confirmation needs; the confirmation computes the effects again from them.
        Errors: InvalidIntent. */
    static Result<Plan> parse(std::string_view text);
    /** Returns the base revision that a plan identity contains, or nothing if the text is not a plan identity. */
    static std::optional<uint64_t> baseRevisionOf(std::string_view identity);
};

/** State of the fleet that the warnings of a plan depend on. */
struct PlanContext {
    std::set<AccountId> accountsInUse;
};

/** The stored configuration that a plan is based on; null if the store has none. */
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
    /** Same as build(), for a plan that already has an identity. */
    Result<Plan> rebuild(const Intent&, const PlanBase&, std::string_view identity) const;

    /** Returns the document that the plan writes, including the identity. */
    static nlohmann::json targetDocument(const Intent&, const PlanBase&, std::string_view identity);

private:
    PlanContext m_context;
};

/** Returns the exact expected share of keys that weighted rendezvous hashing maps to another engine, 0 to 1.
    @param before, after weight by engine. */
double movedShare(const std::map<EngineId, double>& before, const std::map<EngineId, double>& after);

}
