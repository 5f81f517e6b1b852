#pragma once

#include <borageslip_core/time/Clock.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** The failure domains that operators evacuate: their servers get no new work.

    Several domains may be evacuated at once. Does no I/O: time is passed in. Not thread-safe. */
class Evacuations {
public:
    using DomainSet = std::set<std::string, std::less<>>;

    /** What a change means for the servers of the domain. */
    enum class Effect {
        None,
        Begins,
        Ends,
    };

    enum class NameProblem {
        None,
        Empty,
        ContainsSlash,
        UnknownDomain,
    };

    /** @param domains the failure domains that exist. */
    explicit Evacuations(DomainSet domains);

    /** Whether the text can be a name of a failure domain. */
    static NameProblem checkSyntax(std::string_view domain);

    /** Why a name cannot be evacuated. */
    NameProblem problemOf(std::string_view domain) const;

    /** Begins an evacuation, and cancels its scheduled end. A name with a problem has no effect. */
    Effect begin(std::string_view domain);
    Effect end(std::string_view domain);

    /** Lets an evacuation end at a time unless it is begun again by then. An earlier schedule is kept. */
    void scheduleEnd(std::string_view domain, TimePoint at);

    /** Moves all scheduled ends, because the operators could not write their keys until now. */
    void rescheduleEnds(TimePoint at);

    /** Ends the evacuations whose scheduled end has come, and returns their domains. */
    std::vector<std::string> endDue(TimePoint now);

    bool contains(std::string_view domain) const { return m_active.contains(domain); }
    const DomainSet& active() const { return m_active; }

private:
    DomainSet m_domains;
    DomainSet m_active;
    std::map<std::string, TimePoint, std::less<>> m_scheduledEnds; ///< By domain; only of active evacuations.
};

/** Text of the problem for log lines and reports. */
const char* evacuationProblemText(Evacuations::NameProblem);

}
