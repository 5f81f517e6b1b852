#include "CallBudget.h"

#include <algorithm>

namespace borageslip {

std::string_view platformCallName(PlatformCall call)
{
    static constexpr std::array<std::string_view, platformCallKinds> names { "read", "watch", "list", "write", "session", "lock", "instances" };
    return names.at(static_cast<size_t>(call));
}

CallBudget::CallBudget(const Clock& clock, Limits limits)
    : m_clock(clock)
    , m_limits(limits)
    , m_tokens(limits.burst)
    , m_refilled(clock.now())
{
}

Status CallBudget::take(PlatformCall call)
{
    const std::lock_guard lock(m_mutex);
    const auto now = m_clock.now();
    const double elapsed = std::chrono::duration<double>(now - m_refilled).count();
    m_tokens = std::min(m_limits.burst, m_tokens + elapsed * m_limits.callsPerSecond);
    m_refilled = now;
    if (m_tokens < 1) {
        ++m_refused;
        const auto wait = std::chrono::duration<double>((1 - m_tokens) / m_limits.callsPerSecond);
        return Error { ErrorKind::StoreUnavailable, "the budget of platform calls is used up", std::chrono::ceil<std::chrono::milliseconds>(wait) };
    }
    m_tokens -= 1;
    ++m_counts.at(static_cast<size_t>(call));
    return ok();
}

PlatformCallCounts CallBudget::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

uint64_t CallBudget::refusedCalls() const
{
    const std::lock_guard lock(m_mutex);
    return m_refused;
}

}
