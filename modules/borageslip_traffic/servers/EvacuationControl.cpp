#include "EvacuationControl.h"

#include <borageslip_core/logging/Log.h>

#include <algorithm>

namespace borageslip {

namespace {

    // Two polls, of this instance and of its source, with their pauses. Older knowledge means that polls have failed. An
    // instance that reads from others notices the failure only when its source does, so its own failures do not show how long
    // the store was unavailable.
    constexpr Duration longestUndisturbedAge = std::chrono::milliseconds(1300);

}

EvacuationControl::EvacuationControl(const Clock& clock, ServerTable& servers, std::optional<Evacuations::DomainSet> domains, std::function<Duration(std::string_view service)> coldStartOf)
    : m_clock(clock)
    , m_servers(servers)
    , m_coldStartOf(std::move(coldStartOf))
{
    if (!domains)
        return;
    m_evacuations.emplace(std::move(*domains));
    m_servers.setEvacuations(&*m_evacuations);
}

EvacuationControl::~EvacuationControl()
{
    m_servers.setEvacuations(nullptr);
}

Status EvacuationControl::begin(std::string_view domain)
{
    if (!m_evacuations)
        return ok();
    if (const auto problem = m_evacuations->problemOf(domain); problem != Evacuations::NameProblem::None)
        return Error { ErrorKind::InvalidMessage, evacuationProblemText(problem) };
    if (m_evacuations->begin(domain) == Evacuations::Effect::Begins)
        applyChange("evacuation-begun", domain);
    return ok();
}

void EvacuationControl::end(std::string_view domain, Removal removal, Duration knowledgeAge)
{
    if (!m_evacuations || !m_evacuations->contains(domain))
        return;
    if (removal == Removal::AfterOutage || knowledgeAge > longestUndisturbedAge) {
        m_evacuations->scheduleEnd(domain, m_clock.now() + ServerTable::removalGracePeriod);
        logEvent(Severity::Info, "evacuation-key-missing", { { "domain", domain } });
        return;
    }
    if (m_evacuations->end(domain) == Evacuations::Effect::Ends)
        applyChange("evacuation-ended", domain);
}

void EvacuationControl::restartGracePeriods()
{
    if (m_evacuations)
        m_evacuations->rescheduleEnds(m_clock.now() + ServerTable::removalGracePeriod);
}

void EvacuationControl::maintain()
{
    if (!m_evacuations)
        return;
    for (const auto& domain : m_evacuations->endDue(m_clock.now()))
        applyChange("evacuation-ended", domain);
}

void EvacuationControl::applyChange(std::string_view event, std::string_view domain)
{
    const auto returned = m_servers.applyEvacuations();
    for (const auto& server : returned)
        server->assumeColdFor(m_coldStartOf(server->description().service));
    const auto& servers = m_servers.all();
    const auto affected = std::count_if(servers.begin(), servers.end(), [domain](const auto& row) { return row.second->description().failureDomain == domain; });
    logEvent(Severity::Warning, event, { { "domain", domain }, { "servers", affected }, { "evacuated_domains", activeCount() } });
    for (auto* waiter : m_waiters)
        waiter->notify();
    if (m_changeHandler)
        m_changeHandler();
}

bool EvacuationControl::leavesNoServer(std::string_view service) const
{
    if (activeCount() == 0)
        return false;
    const auto servers = m_servers.ofService(service);
    const bool isAnyEvacuated = std::any_of(servers.begin(), servers.end(), [](const auto& server) { return server->isEvacuated(); });
    return isAnyEvacuated && std::none_of(servers.begin(), servers.end(), [](const auto& server) { return server->isInService(); });
}

bool EvacuationControl::countsInMean(std::string_view service) const
{
    if (activeCount() == 0)
        return false;
    const auto servers = m_servers.ofService(service);
    const auto evacuated = std::count_if(servers.begin(), servers.end(), [](const auto& server) { return server->isEvacuated(); });
    const auto inService = std::count_if(servers.begin(), servers.end(), [](const auto& server) { return server->isInService(); });
    return evacuated <= inService;
}

EvacuationControl::Waiter::Waiter(EvacuationControl& control, AutoResetEvent& event)
    : m_control(control)
    , m_event(event)
{
    m_control.m_waiters.insert(&m_event);
}

EvacuationControl::Waiter::~Waiter()
{
    m_control.m_waiters.erase(m_control.m_waiters.find(&m_event));
}

}
