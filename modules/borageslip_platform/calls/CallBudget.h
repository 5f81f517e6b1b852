#pragma once

#include <borageslip_core/borageslip_core.h>

#include <array>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace borageslip {

/** Kinds of calls to the platform, each counted on its own. */
enum class PlatformCall {
    Read,
    Watch,
    List,
    Write,
    Session,
    Lock,
    Instances,
};

constexpr size_t platformCallKinds = static_cast<size_t>(PlatformCall::Instances) + 1;
using PlatformCallCounts = std::array<uint64_t, platformCallKinds>;

std::string_view platformCallName(PlatformCall);

/** Limits and counts this process's calls to the platform, so that a fault here cannot use up the platform's rate.

    Token bucket. Thread-safe.
    @see ConsulConnection */
class CallBudget {
public:
    struct Limits {
        double callsPerSecond = 20;
        double burst = 40;
    };

    CallBudget(const Clock&, Limits);
    CallBudget(const CallBudget&) = delete;
    CallBudget& operator=(const CallBudget&) = delete;

    /** Takes one call. Errors: StoreUnavailable with retryAfter when the budget is used up; nothing is counted then. */
    Status take(PlatformCall);

    PlatformCallCounts counts() const;
    uint64_t refusedCalls() const;

private:
    const Clock& m_clock;
    const Limits m_limits;
    mutable std::mutex m_mutex;
    double m_tokens;
    TimePoint m_refilled;
    PlatformCallCounts m_counts {};
    uint64_t m_refused = 0;
};

}
