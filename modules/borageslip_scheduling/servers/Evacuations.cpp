#include "Evacuations.h"

#include <array>

namespace borageslip {

Evacuations::Evacuations(DomainSet domains)
    : m_domains(std::move(domains))
{
}

Evacuations::NameProblem Evacuations::checkSyntax(std::string_view domain)
{
    if (domain.empty())
        return NameProblem::Empty;
    return domain.find('/') == std::string_view::npos ? NameProblem::None : NameProblem::ContainsSlash;
}

Evacuations::NameProblem Evacuations::problemOf(std::string_view domain) const
{
    if (const auto problem = checkSyntax(domain); problem != NameProblem::None)
        return problem;
    return m_domains.contains(domain) ? NameProblem::None : NameProblem::UnknownDomain;
}

Evacuations::Effect Evacuations::begin(std::string_view domain)
{
    if (problemOf(domain) != NameProblem::None)
        return Effect::None;
    if (const auto scheduled = m_scheduledEnds.find(domain); scheduled != m_scheduledEnds.end())
        m_scheduledEnds.erase(scheduled);
    return m_active.emplace(domain).second ? Effect::Begins : Effect::None;
}

Evacuations::Effect Evacuations::end(std::string_view domain)
{
    const auto found = m_active.find(domain);
    if (found == m_active.end())
        return Effect::None;
    m_active.erase(found);
    if (const auto scheduled = m_scheduledEnds.find(domain); scheduled != m_scheduledEnds.end())
        m_scheduledEnds.erase(scheduled);
    return Effect::Ends;
}

void Evacuations::scheduleEnd(std::string_view domain, TimePoint at)
{
    if (m_active.contains(domain))
        m_scheduledEnds.try_emplace(std::string(domain), at);
}

void Evacuations::rescheduleEnds(TimePoint at)
{
    for (auto& [domain, scheduled] : m_scheduledEnds)
        scheduled = at;
}

std::vector<std::string> Evacuations::endDue(TimePoint now)
{
    std::vector<std::string> due;
    for (const auto& [domain, at] : m_scheduledEnds) {
        if (now >= at)
            due.push_back(domain);
    }
    for (const auto& domain : due)
        end(domain);
    return due;
}

const char* evacuationProblemText(Evacuations::NameProblem problem)
{
    constexpr std::array texts { "", "the name of the failure domain is empty", "the name of the failure domain contains a slash", "no such failure domain in the settings" };
    return texts.at(static_cast<size_t>(problem));
}

}
