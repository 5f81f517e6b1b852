#pragma once

#include <borageslip_core/borageslip_core.h>
#include <optional>

namespace borageslip {

/** The failures of one call over all engines that were tried. A call may be reported as not run only if every attempt
    is known as not run (I3). */
class CallFailures {
public:
    void record(const Error& failure)
    {
        if (failure.mayHaveRun() && !m_firstUncertain)
            m_firstUncertain = failure;
    }

    /** Returns the error for the caller: the last one, or the first that leaves open whether the call ran. */
    const Error& errorToReport(const Error& last) const { return m_firstUncertain && !last.mayHaveRun() ? *m_firstUncertain : last; }

private:
    std::optional<Error> m_firstUncertain;
};

}
