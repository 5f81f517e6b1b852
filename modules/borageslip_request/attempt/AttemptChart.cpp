#include "AttemptChart.h"

#include <array>
#include <borageslip_core/errors/Invariant.h>

namespace borageslip {

namespace {

    constexpr std::array eventNames { "claim", "send", "refuse", "not-run", "event", "lose", "finish", "fail", "give-up" };

    constexpr std::array allEvents {
        AttemptEvent::Claim,
        AttemptEvent::Send,
        AttemptEvent::Refuse,
        AttemptEvent::NotRun,
        AttemptEvent::Event,
        AttemptEvent::Lose,
        AttemptEvent::Finish,
        AttemptEvent::Fail,
        AttemptEvent::GiveUp,
    };
    static_assert(eventNames.size() == allEvents.size());

}

std::string_view attemptEventName(AttemptEvent event)
{
    return eventNames.at(static_cast<size_t>(event));
}

std::span<const AttemptEvent> attemptEvents()
{
    return allEvents;
}

Attempt::Attempt()
    : m_instance(StateChart::named("attempt"))
{
}

Status Attempt::fire(AttemptEvent event)
{
    return m_instance.fire(attemptEventName(event));
}

Error Attempt::checkedError(Error error) const
{
    const bool isConsistent = error.mayHaveRun() || !mayHaveRun();
    BORAGESLIP_INVARIANT(isConsistent, "I3", "error reports \"not run\" in state " + state());
    if (!isConsistent)
        return { ErrorKind::OutcomeUnknown, error.detail };
    return error;
}

}
