#pragma once

#include <borageslip_core/borageslip_core.h>
#include <optional>

namespace borageslip {

/** Collects the failures of one call over all attempted engines. The call may be reported as not run only if every attempt
    is known not to have run (invariant I3). */
class CallFailures {
public:
    void record(const Error& failure)
    {
        if (failure.mayHaveRun() && !m_firstUncertain)
            m_firstUncertain = failure;
    }

    /** Returns the error for the caller: the last one, unless it says that the call did not run although an earlier attempt
        may have run it; then the first such failure. */
    const Error& errorToReport(const Error& last) const { return m_firstUncertain && !last.mayHaveRun() ? *m_firstUncertain : last; }

private:
    std::optional<Error> m_firstUncertain;
};

}
