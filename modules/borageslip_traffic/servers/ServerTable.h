#pragma once

#include "../peers/PeerReport.h"
#include "BackendServer.h"
#include "ServerHealth.h"

#include <map>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageslip {

/** The backend servers that the platform lists, by service. Call it from the event loop that owns it. */
class ServerTable {
public:
    ServerTable(const Clock&, boost::asio::any_io_executor);
    ServerTable(const ServerTable&) = delete;
    ServerTable& operator=(const ServerTable&) = delete;

    /** Adds a backend server or takes over what has changed. A new incarnation or address replaces the old one. */
    void apply(ServerDescription);
    void remove(std::string_view id);

    /** Removes a backend server whose entry was missing when the store came back from an outage, unless it is listed again
        within the grace: entries that expired during an outage return if the backend server lives. */
    void scheduleRemoval(std::string_view id);

    /** Carries out the removals whose grace is over, judges the health of the servers and closes connections that have
        been idle for long. To be called about once a second. */
    void maintain();

    std::span<const BackendServerPtr> ofService(std::string_view service) const;
    const std::map<std::string, BackendServerPtr, std::less<>>& all() const { return m_servers; }

    /** The server with this hash of its identity; null when it is not listed. */
    BackendServerPtr find(uint64_t hash) const;

    /** Records a request to a server and how it ended there, for its health and for the other instances. */
    void recordSend(const BackendServer&);
    void recordAnswer(BackendServer&, TimePoint sentAt);
    void recordFailure(BackendServer&, TimePoint sentAt);

    /** Records what another instance has seen of the servers. */
    void recordPeerOutcomes(std::span<const ServerOutcomes>);

    /** Health of the servers of one service, by their hashes. */
    ServerHealth& health(const std::string& service) { return m_health[service]; }

private:
    void add(ServerDescription);
    void removeExpired();
    void evaluateHealth();

    const Clock& m_clock;
    boost::asio::any_io_executor m_executor;
    std::map<std::string, BackendServerPtr, std::less<>> m_servers;
    std::map<std::string, std::vector<BackendServerPtr>, std::less<>> m_byService;
    std::unordered_map<uint64_t, BackendServerPtr> m_byHash;
    std::map<std::string, ServerHealth, std::less<>> m_health;
    std::map<std::string, TimePoint, std::less<>> m_removalTimes; ///< Backend servers whose entries are missing.
};

}
