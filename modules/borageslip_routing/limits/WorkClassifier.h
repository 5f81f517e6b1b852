#pragma once

#include "../collections/LruTable.h"
#include "WorkClass.h"

#include <borageslip_core/identity/Identifier.h>
#include <borageslip_core/time/Clock.h>

namespace borageslip {

/** Declared properties of a request that its work class depends on. */
struct WorkFeatures {
    const AccountId& account;
    int priority = 5; ///< 0 to 9; lower is more urgent.
    int maxTokens = 0; ///< 0 when the caller set no maximum.
    int promptTokens = 0;
};

/** Assigns requests to work classes by priority, declared size, and how long similar requests of the account held a
    slot. Requests are similar if they have the same priority and their sizes have the same bit widths. Bounded in
    bytes. */
class WorkClassifier {
public:
    struct Settings {
        int urgentPriority = 2; ///< Requests of this or a more urgent (lower) priority are Urgent unless they are Long.
        int urgentMaxTokens = 64; ///< Requests of up to this many tokens are Urgent at any priority, if their prompt is short too.
        int urgentMaxPromptTokens = 2048;
        int longTokens = 1024; ///< Declared maximum of tokens from which a request without history is Long.
        int longPromptTokens = 32768;
        Duration longDuration = std::chrono::seconds(20); ///< Mean measured duration from which similar requests are Long.
        Duration timePerToken = std::chrono::milliseconds(43); ///< Objective for the time between tokens; converts tokens into a duration.
        int minimumSamples = 5;
        size_t maxBytes = 1 << 20;
    };

    explicit WorkClassifier(const Settings& settings)
        : m_settings(settings)
        , m_history(LruTable<History>::withinBytes(settings.maxBytes))
    {
    }

    WorkClass classify(const WorkFeatures&);

    /** Sets the number of tokens up to which a request is not Long, as configured by the operators for a model. The
        duration from which requests are Long and the largest size of Urgent requests are derived from it. */
    void setMaxShortTokens(int);

    /** Records how long a finished request held its slot. */
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
