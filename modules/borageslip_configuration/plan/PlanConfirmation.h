#pragma once

#include "ConfigurationHistory.h"

#include <functional>

namespace borageslip {

/** Result of the confirmation of a plan. */
struct Confirmation {
    uint64_t revision = 0; ///< Revision of the plan's document in the store.
    bool isSuperseded = false; ///< Whether a later plan has replaced it.
};

/** Writes the documents of plans to the store by compare-and-swap on their base revision.

    Of all plans with the same base exactly one takes effect. It is always safe to repeat a confirmation.
    Thread-safe if the store is. @see charts/plan.json */
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
        /** Called before each attempt to read the configuration back, to wait; may be empty. */
        std::function<void()> waitBeforeReadBack {};
    };

    PlanConfirmation(KeyValueStore&, const Clock&, Settings);

    /** Writes the document of a plan, or finds that it has been written already.
        Errors: StalePlan, with the changes since the base; InvalidIntent for a breach that was not accepted or a plan
        file that was modified; StoreUnavailable when the plan has not taken effect; StoreOutcomeUnknown when it may
        have taken effect. */
    Result<Confirmation> confirm(const Plan&);

private:
    class Attempt;

    KeyValueStore& m_store;
    const Clock& m_clock;
    const Settings m_settings;
};

}
