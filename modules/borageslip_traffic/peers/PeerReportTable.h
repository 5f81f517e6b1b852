#pragma once

#include "ReservationMessages.h"

#include <borageslip_core/time/Clock.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace borageslip {

/** The latest reports of the other instances. Reports that are older than the lifetime do not count.
    Pure: time is passed in. Not thread-safe. */
class PeerReportTable {
public:
    explicit PeerReportTable(Duration lifetime)
        : m_lifetime(lifetime)
    {
    }

    /** What a message has changed. */
    struct Changes {
        std::vector<uint64_t> servers; ///< Of which the use has changed.
        std::vector<ServerOutcomes> outcomes; ///< That are new since the sender's last report of each server.
    };

    /** Takes a report unless a newer message of its sender is known. */
    Changes apply(PeerReport, TimePoint now);

    /** Takes the sender's use of one server unless a newer message of it is known.
        @return whether it was taken. */
    bool applyUsage(const ReservationMessage&, TimePoint now);

    /** Sets what an instance that has been heard uses of one server. */
    void setUsage(const std::string& instance, const ServerUsage& usage) { m_entries[instance].usages.insert_or_assign(usage.server, usage); }

    /** What one instance uses of a server. */
    ServerUsage usageBy(std::string_view instance, uint64_t server) const;

    /** Sum of what the other instances use of a server. */
    ServerUsage totalUsage(uint64_t server, TimePoint now) const;

    /** Sum of what the other instances use, by backend server. */
    std::unordered_map<uint64_t, ServerUsage> usageByServer(TimePoint now) const;

    /** Whether a report of the instance has come within the lifetime. */
    bool hasRecentReport(std::string_view instance, TimePoint now) const;

    /** Whether its latest report says that callers may be sent to it. */
    bool acceptsCallers(std::string_view instance) const;

    size_t livePeerCount(TimePoint now) const;

    /** Age of the oldest report that counts; zero when none does. */
    Duration maxReportAge(TimePoint now) const;

    /** Mean of the times at which the reports that count came; nothing when none counts. */
    std::optional<TimePoint> meanReceivedAt(TimePoint now) const;
    void setLifetime(Duration lifetime) { m_lifetime = lifetime; }

private:
    struct Entry {
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        bool hasReported = false; ///< In its present incarnation.
        bool acceptsCallers = false;
        TimePoint receivedAt {};
        std::unordered_map<uint64_t, ServerUsage> usages {};
        std::unordered_map<uint64_t, ServerOutcomes> outcomes {}; ///< Totals as the sender last stated them.
    };

    static std::vector<ServerOutcomes> outcomeIncreases(Entry&, std::span<const ServerOutcomes>);

    /** The sender's entry, if the message is newer than all known of it. */
    Entry* acceptMessage(const std::string& sender, uint64_t incarnation, uint64_t sequence, TimePoint now);

    Duration m_lifetime;
    std::map<std::string, Entry, std::less<>> m_entries;
};

}
