#include "ControlBudget.h"

#include <algorithm>

namespace borageslip {

ControlBudget::ControlBudget(Settings settings, TimePoint now)
    : m_rate(settings.bytesPerSecond)
    , m_capacity(settings.bytesPerSecond * std::chrono::duration<double>(settings.burst).count())
    , m_tokens(m_capacity)
    , m_lastRefill(now)
{
}

bool ControlBudget::spend(ControlKind kind, size_t bytes, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    refill(now);
    const auto index = static_cast<size_t>(kind);
    if (m_tokens - static_cast<double>(bytes) < reserve(kind)) {
        ++m_dropCounts[index];
        return false;
    }
    m_tokens -= static_cast<double>(bytes);
    m_bytesSpent[index] += bytes;
    return true;
}

size_t ControlBudget::available(ControlKind kind, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    refill(now);
    return static_cast<size_t>(std::max(0.0, m_tokens - reserve(kind)));
}

uint64_t ControlBudget::bytesSpent(ControlKind kind) const
{
    const std::lock_guard lock(m_mutex);
    return m_bytesSpent[static_cast<size_t>(kind)];
}

uint64_t ControlBudget::dropCount(ControlKind kind) const
{
    const std::lock_guard lock(m_mutex);
    return m_dropCounts[static_cast<size_t>(kind)];
}

void ControlBudget::refill(TimePoint now)
{
    if (now <= m_lastRefill)
        return;
    m_tokens = std::min(m_capacity, m_tokens + m_rate * std::chrono::duration<double>(now - m_lastRefill).count());
    m_lastRefill = now;
}

double ControlBudget::reserve(ControlKind kind) const
{
    // Share of the capacity that each kind must leave for the kinds after it, in the order of ControlKind.
    static constexpr std::array<double, kindCount> shares { 0.6, 0.4, 0.2, 0.1, 0.0 };
    return m_capacity * shares[static_cast<size_t>(kind)];
}

}
