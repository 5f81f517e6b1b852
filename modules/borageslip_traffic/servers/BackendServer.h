#pragma once

#include "../net/ConnectionPool.h"
#include <borageslip_scheduling/cold/ColdState.h>
#include <borageslip_scheduling/placement/MemoryUsage.h>
#include <borageslip_scheduling/placement/RecentPrefixes.h>
#include <borageslip_scheduling/placement/ServerSlowness.h>
#include <borageslip_scheduling/servers/SendAllowance.h>

#include <borageslip_core/time/Clock.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>

namespace borageslip {

/** A backend server as listed by the platform. */
struct ServerDescription {
    std::string id;
    std::string service;
    std::string failureDomain;
    boost::asio::ip::tcp::endpoint address;
    int slots = 0; ///< Maximum of concurrent requests; 0 when unlimited or unknown.
    bool isDraining = false; ///< Whether it gets no new requests.
    std::chrono::milliseconds coldTimeLeft { 0 }; ///< Remaining time in which it is slow after its start.
    int64_t startedAtMs = 0; ///< Unix time of its start; a different one under the same id is a new incarnation.
    uint64_t sequence = 0; ///< Rises with each entry that one incarnation writes; 0 if it does not count them.

    bool operator==(const ServerDescription&) const = default;
};

/** This instance's state of one incarnation of a backend server.
    Shared by the ServerTable and the requests sent to the server. Not thread-safe: call it from the event loop. */
class BackendServer {
public:
    BackendServer(ServerDescription, const Clock&, const boost::asio::any_io_executor&);

    const ServerDescription& description() const { return m_description; }
    uint64_t hash() const { return m_hash; }
    ConnectionPool& pool() { return m_pool; }

    /** Whether new requests may be sent to it. */
    bool isInService() const { return !m_isRemoved && !m_description.isDraining && !m_isEvacuated && !m_allowance.isLeaving(); }

    /** Sets whether its failure domain is evacuated, and closes its idle connections if so. */
    void setEvacuated(bool);
    bool isEvacuated() const { return m_isEvacuated; }

    /** What it has said of the requests that it accepts. */
    SendAllowance& allowance() { return m_allowance; }
    const SendAllowance& allowance() const { return m_allowance; }

    /** Records that it said in a response that it is leaving; it gets no new requests until its next start, whatever the
        platform lists. */
    void setLeaving();

    /** Records that its coordinator has denied a request because of its rate limit: this instance requests no reservation
        with a prefix of this length or shorter until the rate may allow one. */
    void deferUntil(TimePoint time, uint64_t prefixTokens)
    {
        m_deferredUntil = time;
        m_deferredPrefix = prefixTokens;
    }

    /** Whether a request with such a prefix would probably be denied, too. */
    bool isDeferred(uint64_t prefixTokens, TimePoint now) const { return now < m_deferredUntil && prefixTokens <= m_deferredPrefix && m_allowance.rateLimit(now); }

    /** Whether this instance may send a request to it now. */
    bool acceptsRequests() const { return isInService() && !m_allowance.isPaused(m_clock.now()); }

    /** Takes over what an earlier listing of the same incarnation has said of itself. */
    void inherit(const BackendServer&);

    /** Whether it is still slow after its start. */
    bool isCold(TimePoint now) const { return m_cold.isCold(now); }

    /** Assumes that it is cold for a time from now, for example because its failure domain returns to service. */
    void assumeColdFor(Duration time) { m_cold.assume(time, m_clock.now()); }

    /** The indications that it is cold. */
    ColdState& coldState() { return m_cold; }
    const ColdState& coldState() const { return m_cold; }

    /** Whether it is temporarily ejected after failures, so that requests prefer other servers. */
    bool isEjected(TimePoint now) const { return now < m_ejectedUntil; }

    void update(ServerDescription);
    void remove();
    bool isRemoved() const { return m_isRemoved; }

    /** Requests of this instance that were sent to it or for which a reservation is being requested. */
    int ownInFlight() const { return m_ownInFlight; }

    /** Requests of all instances at it, from the latest known reports. */
    int inFlight() const { return m_ownInFlight + m_peersInFlight; }

    /** Sets the total usage by the other instances as they have reported it. Ignored shortly after the server's
        coordinator has stated it, which knows more recent usage. @param pendingPrefill prompt tokens. */
    void setReportedUsage(int inFlight, int64_t pendingPrefill)
    {
        if (!isLoadOutdated())
            return;
        m_peersInFlight = inFlight;
        m_peersPendingPrefill = pendingPrefill;
    }

    /** Sets the total usage by the other instances as the server's coordinator has stated it. */
    void setStatedUsage(int inFlight, int64_t pendingPrefill)
    {
        m_peersInFlight = inFlight;
        m_peersPendingPrefill = pendingPrefill;
        m_usageStatedAt = m_clock.now();
    }

    /** Whether the coordinator has not stated the usage by the other instances recently. */
    bool isLoadOutdated() const { return m_clock.now() - m_usageStatedAt >= statedUsageLifetime; }

    /** What its responses at all instances state of its speed. */
    ServerSlowness& slowness() { return m_slowness; }
    const ServerSlowness& slowness() const { return m_slowness; }

    void beginRequest() { ++m_ownInFlight; }
    void endRequest() { --m_ownInFlight; }

    /** What this instance's requests can hold in its memory. */
    RequestMemoryCounter& ownMemory() { return m_ownMemory; }
    const RequestMemoryCounter& ownMemory() const { return m_ownMemory; }

    /** Tokens of the prompts that all instances have sent to it and whose answers have not begun, from the latest known
        reports. */
    int64_t pendingPrefill() const { return m_ownPendingPrefill + m_peersPendingPrefill; }
    int64_t ownPendingPrefill() const { return m_ownPendingPrefill; }
    void addPendingPrefill(int64_t tokens) { m_ownPendingPrefill += tokens; }

    /** Records that a prompt with this prefix is sent to it. Its coordinator records those of all instances.
        @param affinity hash of the prefix.
        @return whether the prefix was recently sent before, in which case the server has probably cached it. */
    bool recordPrefix(uint64_t affinity);

    /** Records that it has not cached the prefix, because the request with it failed. */
    void forgetPrefix(uint64_t affinity);

    /** Totals of this instance's requests that it answered or failed, since this instance knows it. */
    struct Outcomes {
        uint32_t answers = 0;
        uint32_t failures = 0;
        TimePoint changedAt {};
    };
    const Outcomes& outcomes() const { return m_outcomes; }
    void countAnswer() { m_outcomes = { m_outcomes.answers + 1, m_outcomes.failures, m_clock.now() }; }
    void countFailure() { m_outcomes = { m_outcomes.answers, m_outcomes.failures + 1, m_clock.now() }; }

    /** Records a successful answer, which ends an ejection. */
    void recordSuccess();

    /** Records that it aborted an answer; ejects it after consecutive failures, for longer with each further one. */
    void recordFailure();

    /** Records that it was unreachable; ejects it at once and closes its idle connections. */
    void recordUnreachable();

private:
    static constexpr Duration statedUsageLifetime = std::chrono::milliseconds(100); ///< A small part of the duration of a stream.

    ServerDescription m_description;
    const Clock& m_clock;
    uint64_t m_hash;
    ConnectionPool m_pool;
    bool m_isRemoved = false;
    bool m_isEvacuated = false;
    SendAllowance m_allowance;
    TimePoint m_deferredUntil {};
    uint64_t m_deferredPrefix = 0; ///< Prefix tokens of the denied request.
    int m_ownInFlight = 0;
    int m_peersInFlight = 0;
    int64_t m_ownPendingPrefill = 0;
    RequestMemoryCounter m_ownMemory;
    int64_t m_peersPendingPrefill = 0;
    TimePoint m_usageStatedAt {};
    ServerSlowness m_slowness;
    std::unique_ptr<RecentPrefixes> m_recentPrefixes; ///< Null until the first prefix is recorded: few instances record prefixes of a server.
    Outcomes m_outcomes;
    int m_consecutiveFailures = 0;
    ColdState m_cold;
    TimePoint m_ejectedUntil {};
};

using BackendServerPtr = std::shared_ptr<BackendServer>;

}
