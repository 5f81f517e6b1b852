#pragma once

#include "../collections/LruTable.h"
#include "WorkClass.h"

#include <borageslip_core/identity/Identifier.h>
#include <borageslip_core/time/Clock.h>

namespace borageslip {

/** What a request says of its own size. */
struct WorkFeatures {
    const AccountId& account;
    int priority = 5; ///< 0 to 9; lower is more urgent.
    int maxTokens = 0; ///< 0 when the caller set no maximum.
    int promptTokens = 0;
};

/** Sorts requests into classes by priority, declared size, and how long similar requests of the account held a slot.
    Requests are similar when their priority and the powers of two of their sizes are equal. Bounded in bytes. */
class WorkClassifier {
public:
    struct Settings {
        int urgentPriority = 2; ///< Requests of this or a more urgent (lower) priority are Urgent unless they are Long.
        int urgentMaxTokens = 64; ///< Requests this short are Urgent at any priority, if their prompt is short too.
        int urgentMaxPromptTokens = 2048;
        int longTokens = 1024; ///< Declared tokens from which a request without history is Long.
        int longPromptTokens = 32768;
        Duration longDuration = std::chrono::seconds(20); ///< Measured duration from which similar requests are Long.
        Duration timePerToken = std::chrono::milliseconds(43); ///< Objective between tokens, which turns tokens into a duration.
        int minimumSamples = 5;
        size_t maxBytes = 1 << 20;
    };

    explicit WorkClassifier(const Settings& settings)
        : m_settings(settings)
        , m_history(LruTable<History>::withinBytes(settings.maxBytes))
    {
    }

    WorkClass classify(const WorkFeatures&);

    /** Sets the tokens up to which a request is not Long, as the operators configured them for a model. The measured
        duration from which work is Long and the size of Urgent work follow. */
    void setMaxShortTokens(int);

    /** Notes how long a finished request held its slot. */
    void recordFinished(const WorkFeatures&, Duration);

    static constexpr size_t bytesPerHistory() { return LruTable<History>::bytesPerEntry(); }

private:
    struct History {
        float meanSeconds = 0;
        int samples = 0;
    };

    Settings m_settings;
    LruTable<History> m_history;
};

}
