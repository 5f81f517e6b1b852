#pragma once

#include "Log.h"

#include "../time/Clock.h"

#include <map>
#include <string>
#include <string_view>

namespace borageslip {

/** Bounds the lines a second of each kind of event, so that a burst of one kind neither fills the log nor hides the
    others. Warnings and errors have a larger allowance than the rest. Not thread-safe. */
class LogBudget {
public:
    /** @param linesPerSecond of one kind of event, for severities below Warning; four times as many from Warning on. */
    explicit LogBudget(double linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /** Whether the line may be written; a line that may not is counted. */
    bool admit(Severity, std::string_view event, TimePoint now);

    /** Returns the counts of lines that were left out, by event, and starts anew; at most once a second. */
    std::map<std::string, uint64_t> takeLeftOut(TimePoint now);

private:
    struct Allowance {
        double tokens = 0;
        TimePoint filledAt {};
        uint64_t leftOut = 0;
    };

    double m_linesPerSecond;
    std::map<std::string, Allowance, std::less<>> m_allowances;
    TimePoint m_reportedAt {};
    bool m_hasLeftOut = false;
};

}
