#pragma once

#include "../peers/PeerReport.h"
#include "BackendServer.h"
#include <borageslip_scheduling/servers/Evacuations.h>
#include <borageslip_scheduling/servers/ServerHealth.h>
#include <borageslip_scheduling/store/StoreEraOrder.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageslip {

/** Registry of the backend servers that the platform lists, with their health by service. Not thread-safe: call it from
    the event loop that owns it. */
class ServerTable {
public:
    ServerTable(const Clock&, boost::asio::any_io_executor);
    ServerTable(const ServerTable&) = delete;
    ServerTable& operator=(const ServerTable&) = delete;

    /** Adds or updates a backend server. A new incarnation, address or service replaces the server. */
    void apply(ServerDescription);
    void remove(std::string_view id);

    /** Sets what is called with a server of which a new start is listed, before it is replaced. */
    void setRestartHandler(std::function<void(const BackendServer&)> handler) { m_restartHandler = std::move(handler); }

    /** Sets what is called with each server that is added, also with a new incarnation of a known one. */
    void setListingHandler(std::function<void(BackendServer&)> handler) { m_listingHandler = std::move(handler); }

    /** Removes a backend server whose entry was missing when the store recovered from an outage, after a grace period
        and unless it is listed again by then: entries of live servers that expired during the outage return. */
    void scheduleRemoval(std::string_view id);

    /** Sets the evacuations that apply to the servers; null for none. They must outlive the table. */
    void setEvacuations(const Evacuations* evacuations) { m_evacuations = evacuations; }

    /** Applies a change of the evacuations. Returns the servers whose domain is not evacuated any more. */
    std::vector<BackendServerPtr> applyEvacuations();

    /** For which an entry that was missing after an outage of the store is kept: entries of live servers that expired
        during the outage return within about this time. */
    static constexpr Duration removalGracePeriod = std::chrono::seconds(2);

    /** Applies an entry that came back with an older copy of the store. If it is older than the last known one, it takes
        effect after the grace period of removals, unless another entry is applied by then: the server writes its newer entry
        again if it is still running. */
    void applyRestored(ServerDescription);

    /** Lets the grace periods begin again, because the servers could not write their entries. */
    void restartGracePeriods();

    /** Carries out due removals, evaluates the health of the servers and closes stale idle connections. Should be
        called about once a second. */
    void maintain();

    std::span<const BackendServerPtr> ofService(std::string_view service) const;
    const std::map<std::string, BackendServerPtr, std::less<>>& all() const { return m_servers; }

    /** Finds a server by the hash of its id; null when it is not listed. */
    BackendServerPtr find(uint64_t hash) const;

    /** To be called when a response of a server has said which requests it accepts. A server that was removed and listed
        again while it responded is known under two objects; its new listing takes the notice over, also a later one. */
    void shareNotices(const BackendServerPtr&);

    /** Record a send to a server and its outcome, for the server's health and for reports to other instances. */
    void recordSend(const BackendServer&);
    void recordAnswer(BackendServer&, TimePoint sentAt);
    void recordFailure(BackendServer&, TimePoint sentAt);

    /** Records outcomes reported by another instance: increases since its previous report. */
    void recordPeerOutcomes(std::span<const ServerOutcomes>);

    /** Records what a response to this instance has stated of the server's speed. @return whether the figure is used. */
    bool recordSlowness(BackendServer&, int percent);

    /** Records statements of responses to another instance. */
    void recordPeerSlowness(std::span<const SlownessRow>);

    /** The last statement of each server in responses to this instance after the given time. */
    std::vector<SlownessRow> slownessSince(TimePoint) const;

    /** Whether a server of the service has stated its speed recently, which enables shares by speed. */
    bool statesSlowness(std::string_view service) const;

    /** Share of the work of its service that the server should hold. @see capacityShares */
    double capacityShare(const BackendServer&) const;

    /** Health of the servers of one service, which are identified by their hashes. */
    ServerHealth& health(const std::string& service) { return m_health[service]; }

private:
    /** A removed server that has said of itself that it wants no requests. */
    struct RemovedServer {
        BackendServerPtr server;
        TimePoint removedAt {};
    };

    /** An older entry that takes effect later. */
    struct HeldEntry {
        ServerDescription description;
        TimePoint appliesAt {};
    };

    /** The last entry of a server that is no longer listed. */
    struct LastEntry {
        EntryVersion version;
        TimePoint removedAt {};
    };

    static EntryVersion versionOf(const ServerDescription&);

    /** Nothing for a server that was never listed, or not for long. */
    std::optional<EntryVersion> knownVersion(const std::string& id) const;
    void applyHeld();
    void add(ServerDescription);
    void rememberRemoved(const BackendServerPtr&);
    void removeExpired();
    void forgetRemoved();
    void evaluateHealth();
    void logSlownessChanges();
    bool isEvacuated(const ServerDescription&) const;

    const Clock& m_clock;
    boost::asio::any_io_executor m_executor;
    std::function<void(const BackendServer&)> m_restartHandler;
    const Evacuations* m_evacuations = nullptr;
    std::function<void(BackendServer&)> m_listingHandler;
    std::map<std::string, BackendServerPtr, std::less<>> m_servers;
    std::map<std::string, std::vector<BackendServerPtr>, std::less<>> m_byService;
    std::unordered_map<uint64_t, BackendServerPtr> m_byHash;
    std::map<std::string, ServerHealth, std::less<>> m_health;
    std::set<std::string, std::less<>> m_statingServices; ///< Services whose servers state their speeds, as last logged.
    std::map<std::string, RemovedServer, std::less<>> m_removed; ///< By id; the platform may list them again.
    std::map<std::string, HeldEntry, std::less<>> m_heldEntries; ///< By server id.
    std::map<std::string, LastEntry, std::less<>> m_lastEntries; ///< Of removed servers, by id.
    std::map<std::string, TimePoint, std::less<>> m_removalTimes; ///< Due times of scheduled removals, by server id.
};

}
