#pragma once

#include "PeerReport.h"

#include <borageslip_core/time/Clock.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace borageslip {

/** The latest reports of the other instances. Reports that are older than the lifetime do not count.
    Pure: time is passed in. Not thread-safe. */
class PeerBoard {
public:
    explicit PeerBoard(Duration lifetime)
        : m_lifetime(lifetime)
    {
    }

    /** Takes a report unless a newer one of its sender is known.
        @return the outcomes that are new since the sender's last report of each server. */
    std::vector<ServerOutcomes> apply(PeerReport, TimePoint now);

    /** Sum of what the other instances use, by backend server. */
    std::unordered_map<uint64_t, ServerUse> uses(TimePoint now) const;

    /** Whether a report of the instance has come within the lifetime. */
    bool isHeard(std::string_view instance, TimePoint now) const;

    /** Whether its latest report says that callers may be sent to it. */
    bool takesCallers(std::string_view instance) const;

    size_t heardCount(TimePoint now) const;

    /** Age of the oldest report that counts; zero when none does. */
    Duration oldestAge(TimePoint now) const;

    /** Mean of the times at which the reports that count came; nothing when none counts. */
    std::optional<TimePoint> meanHeardAt(TimePoint now) const;
    void setLifetime(Duration lifetime) { m_lifetime = lifetime; }

private:
    struct Entry {
        PeerReport report;
        TimePoint heardAt {};
        std::unordered_map<uint64_t, ServerOutcomes> outcomes {}; ///< Totals as the sender last stated them.
    };

    static std::vector<ServerOutcomes> takeOutcomes(Entry&);

    Duration m_lifetime;
    std::map<std::string, Entry, std::less<>> m_entries;
};

}
