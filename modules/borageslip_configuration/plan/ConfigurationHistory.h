#pragma once

#include "Plan.h"

#include <borageslip_platform/borageslip_platform.h>

namespace borageslip {

/** A replaced configuration document, with the plan and the operator that replaced it. */
struct HistoryEntry {
    uint64_t revision = 0; ///< Revision of the document in the store.
    nlohmann::json document;
    std::string replacedBy; ///< Identity of the plan; certain only if isConfirmed.
    std::string operatorName;
    std::string reason;
    std::string time; ///< ISO 8601, UTC.
    bool isConfirmed = false; ///< Whether the plan took effect and was then recorded here as the replacing plan.

    const std::string planOfDocument() const { return document.value("plan", ""); }
};

/** History of the documents that plans replaced, kept in the store under `borageslip/history/<revision>`.

    A confirmation records the current document before it replaces it, so each plan that took effect is found either in
    the stored configuration or in the history. The identity of a plan contains its base revision, which links each
    document to its predecessor. Thread-safe if the store is. */
class ConfigurationHistory {
public:
    ConfigurationHistory(KeyValueStore&, const Clock&);

    /** Returns the entry of a replaced revision.
        Errors: NotFound; those of the store. */
    Result<HistoryEntry> read(uint64_t revision) const;

    /** Returns at most `limit` replaced documents, newest first. Stops early if an entry is missing.
        @param current the document that is now in the store. */
    Result<std::vector<HistoryEntry>> entriesBefore(const nlohmann::json& current, size_t limit) const;

    /** Writes the base document to the history unless it is already there. */
    Status record(const PlanBase&, const Plan&) const;
    /** Records a plan that took effect as the one that replaced its base. */
    Status markConfirmed(const Plan&) const;

    /** Returns an intent that reverts the changes of a plan.
        @param identity of the plan; empty for the newest.
        Errors: NotFound when the plan is not in the history; StalePlan when later plans changed the same fields. */
    Result<Intent> undoIntent(std::string_view identity, std::string_view operatorName, std::string_view reason) const;

private:
    nlohmann::json makeEntry(uint64_t revision, const nlohmann::json& document, const Plan&, bool isConfirmed) const;

    KeyValueStore& m_store;
    const Clock& m_clock;
};

/** Reads the stored configuration as the base of a plan. Errors: those of the store; InvalidSettings. */
Result<PlanBase> readPlanBase(KeyValueStore&);

}
