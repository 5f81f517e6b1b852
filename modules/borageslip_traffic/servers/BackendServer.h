#pragma once

#include "../net/ConnectionPool.h"
#include "../placement/RecentPrefixes.h"

#include <borageslip_core/time/Clock.h>

#include <cstdint>
#include <memory>
#include <string>

namespace borageslip {

/** What the platform's list says of a backend server. */
struct ServerDescription {
    std::string id;
    std::string service;
    std::string failureDomain;
    boost::asio::ip::tcp::endpoint address;
    int slots = 0;
    bool isDraining = false;
    std::chrono::milliseconds coldTimeLeft { 0 }; ///< How much longer it works slowly after its start.
    int64_t startedAtMs = 0; ///< Unix time of its start; a later one under the same id is a new incarnation.

    bool operator==(const ServerDescription&) const = default;
};

/** One incarnation of a backend server, as this instance knows it.
    Owned by the ServerTable and by the requests that it serves; call it from the event loop. */
class BackendServer {
public:
    BackendServer(ServerDescription, const Clock&, const boost::asio::any_io_executor&);

    const ServerDescription& description() const { return m_description; }
    uint64_t hash() const { return m_hash; }
    ConnectionPool& pool() { return m_pool; }

    /** Whether new work may be sent to it. */
    bool isInService() const { return !m_isRemoved && !m_description.isDraining; }
    bool isCold(TimePoint now) const { return now < m_coldUntil; }

    /** Whether it has failed lately and is left alone until it may be tried again. */
    bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }

    void update(ServerDescription);
    void remove();
    bool isRemoved() const { return m_isRemoved; }

    /** Requests of this instance at it, or for which a place there is being asked. */
    int ownInFlight() const { return m_ownInFlight; }

    /** Requests of all instances at it, as far as known. */
    int inFlight() const { return m_ownInFlight + m_peersInFlight; }
    void setPeerUsage(int inFlight, int64_t pendingPrefill)
    {
        m_peersInFlight = inFlight;
        m_peersPendingPrefill = pendingPrefill;
    }
    void beginRequest() { ++m_ownInFlight; }
    void endRequest() { --m_ownInFlight; }

    /** Prompt tokens that all instances have sent to it and to which no answer has begun, as far as known. */
    int64_t pendingPrefill() const { return m_ownPendingPrefill + m_peersPendingPrefill; }
    int64_t ownPendingPrefill() const { return m_ownPendingPrefill; }
    void addPendingPrefill(int64_t tokens) { m_ownPendingPrefill += tokens; }

    bool isPrefixKnown(uint64_t affinity) const { return m_recentPrefixes.contains(affinity); }

    /** Notes that a prompt that begins with these parts is sent to it. Returns whether one has been before, so that it
        has probably read them. */
    bool recordPrefix(uint64_t affinity) { return m_recentPrefixes.record(affinity); }

    /** Requests of this instance that it answered, and that failed there, since it is known. */
    struct Outcomes {
        uint32_t answers = 0;
        uint32_t failures = 0;
        TimePoint changedAt {};
    };
    const Outcomes& outcomes() const { return m_outcomes; }
    void countAnswer() { m_outcomes = { m_outcomes.answers + 1, m_outcomes.failures, m_clock.now() }; }
    void countFailure() { m_outcomes = { m_outcomes.answers, m_outcomes.failures + 1, m_clock.now() }; }

    void recordSuccess();

    /** Records that it broke off an answer, and ejects it when that repeats. */
    void recordFailure();

    /** Records that it could not be reached, and ejects it at once with its idle connections. */
    void recordUnreachable();

private:
    void setCold(std::chrono::milliseconds left);

    ServerDescription m_description;
    const Clock& m_clock;
    uint64_t m_hash;
    ConnectionPool m_pool;
    bool m_isRemoved = false;
    int m_ownInFlight = 0;
    int m_peersInFlight = 0;
    int64_t m_ownPendingPrefill = 0;
    int64_t m_peersPendingPrefill = 0;
    RecentPrefixes m_recentPrefixes;
    Outcomes m_outcomes;
    int m_consecutiveFailures = 0;
    TimePoint m_coldUntil {};
    TimePoint m_ejectedUntil {};
};

using BackendServerPtr = std::shared_ptr<BackendServer>;

}
