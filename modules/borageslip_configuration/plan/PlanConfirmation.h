#pragma once

#include "ConfigurationHistory.h"

#include <functional>

namespace borageslip {

/** How a confirmed plan stands. */
struct Confirmation {
    uint64_t revision = 0; ///< Under which the plan's document was stored.
    bool isSuperseded = false; ///< Whether a later plan has replaced it.
};

/** Puts plans into the store by compare-and-swap on their base revision.

    Of all plans with the same base exactly one takes effect. Repeating a confirmation is safe in every case.
    Thread-safe when the store is. @see charts/plan.json */
class PlanConfirmation {
public:
    enum class BreachPolicy {
        Refuse,
        Accept,
    };

    struct Settings {
        PlanContext context {};
        BreachPolicy breaches = BreachPolicy::Refuse;
        size_t maxReadBacks = 5;
        /** Waits between attempts to read back; nothing for no wait. */
        std::function<void()> waitBeforeReadBack {};
    };

    PlanConfirmation(KeyValueStore&, const Clock&, Settings);

    /** Errors: StalePlan, with what changed since the base; InvalidIntent for a breach that was not accepted or a
        changed plan file; StoreUnavailable when the plan has not taken effect; StoreOutcomeUnknown when it may have. */
    Result<Confirmation> confirm(const Plan&);

private:
    class Attempt;

    KeyValueStore& m_store;
    const Clock& m_clock;
    const Settings m_settings;
};

}
