#pragma once

#include "ReservationHost.h"
#include "ReservationMessages.h"
#include <borageslip_scheduling/placement/ServerMemory.h>

#include <borageslip_core/time/Clock.h>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace borageslip {

class BackendServer;
class TrafficEngine;

/** Applies the memory limits of backend servers to the reservations that this instance coordinates, and states its own
    usage to the coordinators. Does nothing where the memory of servers is not guarded.

    Not thread-safe: call it from the event loop that owns the engine.
    @see ServerMemory */
class MemoryCoordination {
public:
    MemoryCoordination(TrafficEngine& engine, const ReservationHost& host, std::string ownName)
        : m_engine(engine)
        , m_host(host)
        , m_ownName(std::move(ownName))
    {
    }
    MemoryCoordination(const MemoryCoordination&) = delete;
    MemoryCoordination& operator=(const MemoryCoordination&) = delete;

    /** Sets what the decisions depend on. @param listedInstances with this one. @param reportLifetime in which a message
        of a live instance arrives. */
    void setFleet(size_t listedInstances, Duration reportLifetime)
    {
        m_listedInstances = listedInstances;
        m_reportLifetime = reportLifetime;
    }

    /** Whether the memory of the server is known and guarded. */
    bool isGuarded(const BackendServer&) const;

    /** What a message to the server's coordinator states. @param request counted at the server; empty for none. */
    std::optional<MemoryClaim> claim(const BackendServer&, const RequestMemory& request = {}) const;

    /** What a report to all instances states. */
    std::optional<std::vector<MemoryUsage>> reportRows() const;

    void receiveReport(const PeerReport&);
    void receive(const ReservationMessage&);
    void removeInstance(std::string_view name) { m_memory.remove(name); }

    /** Whether the server has memory for a request that its sender has counted. */
    bool fits(const BackendServer&, const ReservationMessage&);

    /** The same for a new request; counts and logs the decision. */
    bool admits(const BackendServer&, const ReservationMessage&);

    void recordGrant(const BackendServer&, const ReservationMessage&);
    void recordDenial(const ReservationMessage&);

private:
    ServerMemory::Context context(const BackendServer&) const;

    /** Whether this instance ranks first as the server's coordinator among those that it hears. */
    bool isPrincipal(uint64_t server) const;
    MemoryDecision decide(const BackendServer&, const ReservationMessage&);
    void logChange(const BackendServer&, MemoryDecision);

    TrafficEngine& m_engine;
    const ReservationHost& m_host;
    std::string m_ownName;
    size_t m_listedInstances = 1;
    Duration m_reportLifetime {};
    ServerMemory m_memory;
    std::unordered_map<uint64_t, MemoryDecision> m_latest; ///< Latest decision by server.
};

}
