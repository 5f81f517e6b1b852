#pragma once

#include "../configuration/TrafficConfiguration.h"
#include "../metrics/TrafficCounts.h"
#include "ColdPermitSource.h"
#include "ServerTable.h"
#include <borageslip_scheduling/cold/ColdShareRate.h>

namespace borageslip {

/** The parts of the bound for cold servers that do not depend on the service. */
struct ColdBoundSettings {
    double overage = 1.5;
    double slack = 5;
};

/** Collects the indications that servers are cold, and decides whether a request may be sent to one.

    Without effect for services whose configuration has no rate for cold servers. Not thread-safe: call it from the event
    loop that owns it. */
class ColdServers {
public:
    ColdServers(const Clock&, ServerTable&, TrafficCounts&, ColdBoundSettings);
    ColdServers(const ColdServers&) = delete;
    ColdServers& operator=(const ColdServers&) = delete;

    void setConfiguration(const TrafficConfiguration&);

    /** Sets who grants permits; null for nobody. The source must outlive all requests. */
    void setPermitSource(ColdPermitSource* source) { m_source = source; }

    /** To be called when the first complete list of servers has been read: servers listed later have started since. */
    void setListComplete() { m_isListComplete = true; }

    /** Rates of the shares, by service; only services whose cold servers are limited. */
    const std::map<std::string, ColdShareRate, std::less<>>& rates() const { return m_rates; }

    /** Whether the server is cold and may get requests only with permits. */
    bool isLimited(const BackendServer&) const;

    /** Whether a request may be written to the server now. Counts and logs a request that may not. */
    bool maySend(const BackendServer&, const std::optional<ColdPermit>&);

    /** Whether a request for a permit for cold servers of the service may succeed now. */
    bool mayHavePermits(std::string_view service) const { return m_source != nullptr && m_source->mayHavePermits(service); }

    /** Requests a permit for the server or another cold one of its service.
        @param excluded hashes of servers that must not be used. */
    boost::asio::awaitable<std::optional<ColdPermit>> requestPermit(const BackendServer&, std::span<const uint64_t> excluded);

    /** As above, for this server only. */
    boost::asio::awaitable<std::optional<ColdPermit>> requestPermit(const BackendServer&);

    /** Hashes of the service's servers that may get requests only with permits. */
    std::vector<uint64_t> limitedServers(std::string_view service) const;

    /** Record what this instance has observed; the other instances are told. */
    void recordUnreachable(BackendServer&);
    void recordResponse(BackendServer&, std::optional<std::chrono::milliseconds> stated, TimePoint sentAt);

    /** Records what another instance has observed. @param left zero if the server was not reachable there. */
    void recordAnnouncement(uint64_t server, std::chrono::milliseconds left);

    size_t limitedCount() const;

private:
    void serverListed(BackendServer&);
    /** The present listing of a server that may have been listed again, or replaced, in the meantime. */
    BackendServer& listed(BackendServer&) const;
    bool hasLimit(const BackendServer& server) const { return m_rates.contains(server.description().service); }
    std::chrono::milliseconds coldTime(const BackendServer&) const;
    void logCold(const BackendServer&, std::string_view reason) const;

    static constexpr size_t maxRequestedServers = 24; ///< Bounds the size of a datagram.

    const Clock& m_clock;
    ServerTable& m_servers;
    TrafficCounts& m_counts;
    ColdBoundSettings m_settings;
    ColdPermitSource* m_source = nullptr;
    std::map<std::string, ColdShareRate, std::less<>> m_rates;
    std::map<std::string, std::chrono::milliseconds, std::less<>> m_coldTimes; ///< For which servers are cold after their start, by service.
    bool m_isListComplete = false;
};

}
