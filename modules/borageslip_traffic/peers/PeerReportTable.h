#pragma once

#include "ReservationMessages.h"

#include <borageslip_core/time/Clock.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace borageslip {

/** Latest state that each peer instance has reported. Peers whose last message is older than the lifetime are ignored.

    Messages of a peer are ordered by incarnation and sequence; outdated and repeated ones are discarded. Does no I/O:
    time is passed in. Not thread-safe. */
class PeerReportTable {
public:
    explicit PeerReportTable(Duration lifetime)
        : m_lifetime(lifetime)
    {
    }

    /** Differences between a report and the previous state of its sender. */
    struct Changes {
        std::vector<uint64_t> servers; ///< Hashes of the servers whose usage by the sender has changed.
        std::vector<ServerOutcomes> outcomes; ///< Increases since the sender last reported outcomes of each server.
    };

    /** Applies a report, unless a message of its sender that is as new or newer was received before.
        @return the changes; empty when the report was discarded. */
    Changes apply(PeerReport, TimePoint now);

    /** Sets the sender's usage of one server, unless a message of the sender that is as new or newer was received
        before.
        @return whether the usage was applied. */
    bool applyUsage(const ReservationMessage&, TimePoint now);

    /** Sets the usage of one server by an instance of which a message was received before. */
    void setUsage(const std::string& instance, const ServerUsage& usage) { m_entries[instance].usages.insert_or_assign(usage.server, usage); }

    /** Usage of a server by one instance, as last reported, however old; zero when unknown. */
    ServerUsage usageBy(std::string_view instance, uint64_t server) const;

    /** Total usage of a server by the other instances. */
    ServerUsage totalUsage(uint64_t server, TimePoint now) const;

    /** Total usage by the other instances, by the backend server's hash. */
    std::unordered_map<uint64_t, ServerUsage> usageByServer(TimePoint now) const;

    /** Whether the instance has sent a report since it started and any message within the lifetime. */
    bool hasRecentReport(std::string_view instance, TimePoint now) const;

    /** Whether a message of the instance was received within the given time. */
    bool hasMessageWithin(std::string_view instance, Duration age, TimePoint now) const;

    /** Whether the instance's latest report says that it accepts callers. */
    bool acceptsCallers(std::string_view instance) const;

    /** Number of instances from which a message was received within the lifetime. */
    size_t livePeerCount(TimePoint now) const;

    /** Greatest age of the latest messages of live peers; zero when there are none. */
    Duration maxReportAge(TimePoint now) const;

    /** Mean receive time of the latest messages of live peers; nothing when there are none. */
    std::optional<TimePoint> meanReceivedAt(TimePoint now) const;
    void setLifetime(Duration lifetime) { m_lifetime = lifetime; }

private:
    struct Entry {
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        bool hasReported = false; ///< Whether a report was received from the current incarnation.
        bool acceptsCallers = false;
        TimePoint receivedAt {};
        std::unordered_map<uint64_t, ServerUsage> usages {};
        std::unordered_map<uint64_t, ServerOutcomes> outcomes {}; ///< Totals last reported by the sender.
    };

    /** Stores the reported totals and returns their increases since the previous report of each server. */
    static std::vector<ServerOutcomes> outcomeIncreases(Entry&, std::span<const ServerOutcomes>);

    /** Records the receipt of a message and returns the entry of its sender; null when it is outdated or repeated. */
    Entry* acceptMessage(const std::string& sender, uint64_t incarnation, uint64_t sequence, TimePoint now);

    Duration m_lifetime;
    std::map<std::string, Entry, std::less<>> m_entries;
};

}
