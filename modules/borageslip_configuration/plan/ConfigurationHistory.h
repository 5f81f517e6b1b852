#pragma once

#include "Plan.h"

#include <borageslip_platform/borageslip_platform.h>

namespace borageslip {

/** A document that was replaced, and by whom. */
struct HistoryEntry {
    uint64_t revision = 0; ///< Under which the document was stored.
    nlohmann::json document;
    std::string replacedBy; ///< Identity of the plan; only certain when isConfirmed.
    std::string operatorName;
    std::string reason;
    std::string time; ///< ISO 8601, UTC.
    bool isConfirmed = false; ///< Whether the plan that replaced the document has entered itself after it took effect.

    const std::string planOfDocument() const { return document.value("plan", ""); }
};

/** The documents that plans replaced, in the store under `borageslip/history/<revision>`.

    Every confirmation writes the document before it replaces it, so each plan that took effect is either in the stored
    configuration or in the history. A plan's identity names its base revision, which leads from a document to the one
    before. Thread-safe when the store is. */
class ConfigurationHistory {
public:
    ConfigurationHistory(KeyValueStore&, const Clock&);

    /** Errors: NotFound; those of the store. */
    Result<HistoryEntry> read(uint64_t revision) const;

    /** Returns replaced documents from the newest to older ones, at most `limit`; ends early at a gap.
        @param current the stored document. */
    Result<std::vector<HistoryEntry>> entriesBefore(const nlohmann::json& current, size_t limit) const;

    /** Makes sure that the history holds the document. */
    Status record(const PlanBase&, const Plan&) const;
    /** Enters the plan that took effect as the one that replaced its base. */
    Status markConfirmed(const Plan&) const;

    /** Returns the intent that reverts what a plan changed.
        @param identity of the plan; empty for the newest.
        Errors: NotFound when the plan is not found; StalePlan when later plans changed the same fields. */
    Result<Intent> undoIntent(std::string_view identity, std::string_view operatorName, std::string_view reason) const;

private:
    nlohmann::json makeEntry(uint64_t revision, const nlohmann::json& document, const Plan&, bool isConfirmed) const;

    KeyValueStore& m_store;
    const Clock& m_clock;
};

/** Reads the configuration in the store. Errors: those of the store; InvalidSettings. */
Result<PlanBase> readPlanBase(KeyValueStore&);

}
