#include "Lifecycle.h"

namespace borageslip {

Lifecycle::Lifecycle(const Clock& clock)
    : m_clock(clock)
    , m_chart(StateChart::named("daemon"))
{
}

void Lifecycle::fire(std::string_view event)
{
    const auto before = m_chart.current();
    if (isOk(m_chart.fire(event)))
        logEvent(Severity::Info, "lifecycle", { { "from", before }, { "to", m_chart.current() }, { "cause", event } });
}

void Lifecycle::becomeReady()
{
    const std::lock_guard lock(m_mutex);
    if (m_chart.isIn("starting"))
        fire("ready");
}

void Lifecycle::beginStop(Duration directoryLifetime)
{
    const std::lock_guard lock(m_mutex);
    if (!m_chart.canFire("stop"))
        return;
    fire("stop");
    m_leavingUntil = m_clock.now() + directoryLifetime;
}

void Lifecycle::advance(int callsInProgress, Duration drainDeadline)
{
    const auto now = m_clock.now();
    const std::lock_guard lock(m_mutex);
    if (m_chart.isIn("leaving") && now >= m_leavingUntil) {
        fire("lifetime-passed");
        m_drainingSince = now;
        return;
    }
    if (!m_chart.isIn("draining"))
        return;
    if (callsInProgress == 0)
        fire("idle");
    else if (now - m_drainingSince >= drainDeadline) {
        BORAGESLIP_INVARIANT(false, "I6", "the drain deadline passed with calls in progress");
        fire("drain-deadline");
    }
}

bool Lifecycle::isAccepting() const
{
    const std::lock_guard lock(m_mutex);
    return m_chart.hasFlag("accepts");
}

bool Lifecycle::isListed() const
{
    const std::lock_guard lock(m_mutex);
    return m_chart.hasFlag("listed");
}

bool Lifecycle::isIn(std::string_view state) const
{
    const std::lock_guard lock(m_mutex);
    return m_chart.isIn(state);
}

std::string Lifecycle::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_chart.current();
}

}
