#pragma once

#include "BackendServer.h"

#include <map>
#include <span>
#include <string_view>
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
    void removeAfterGrace(std::string_view id);

    /** Carries out the removals whose grace is over. To be called periodically. */
    void removeLapsed();

    std::span<const BackendServerPtr> ofService(std::string_view service) const;
    const std::map<std::string, BackendServerPtr, std::less<>>& all() const { return m_servers; }

    void closeStaleConnections();

private:
    void add(ServerDescription);

    const Clock& m_clock;
    boost::asio::any_io_executor m_executor;
    std::map<std::string, BackendServerPtr, std::less<>> m_servers;
    std::map<std::string, std::vector<BackendServerPtr>, std::less<>> m_ofService;
    std::map<std::string, TimePoint, std::less<>> m_lapsedUntil; ///< Backend servers whose entries are missing.
};

}
