#pragma once

#include "RequestRate.h"
#include "ServiceState.h"

#include <borageslip_core/time/Clock.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace borageslip {

/** A backend server whose slots a ServiceQueue grants. */
struct QueuedServer {
    uint64_t hash = 0; ///< Hash of the server's id.
    int slots = 0; ///< Concurrent requests; 0 for unlimited.
    double share = 1; ///< Part of its slots and of the requests that it gets, less than 1 while it fails or is slow.
    bool isCold = false;
    uint64_t failureDomain = 0; ///< Hash of the name.
    bool isProbeDue = false; ///< Whether the next request may go to it whatever its share, to find out whether it has recovered.
    double rateLimit = 0; ///< Requests a second that it accepts from all instances; 0 for unlimited.
    RequestRate::Share rateShare = RequestRate::Share::Coordinator;
};

/** Slots and queue of one service, kept by the service's coordinator: one queue for the requests of all instances, and
    one count of the requests at each backend server.

    Answers the load pattern in which many instances each see a few requests of a service whose servers have few slots:
    without a common queue, a request that finds its server full is rejected or polls while another server is idle.

    A waiting request is granted a slot in the order of priority; then requests that can still meet their latency
    objective; then requests of the client account with the fewest slots; then the earliest time limit. A request that
    cannot start in time, at the measured rate of the service, is rejected at once; one that is expected to be late goes
    behind those that are not, so that under overload a short queue is served on time instead of a long one late.

    A slot is leased to the instance that uses it: each state of the instance renews its slots, and all of them are
    released when no state arrives for the lease time. Does no I/O: time is passed in. Not thread-safe. */
class ServiceQueue {
public:
    /** @param capFactor load cap of a server as a multiple of the mean requests per server. */
    explicit ServiceQueue(double capFactor)
        : m_capFactor(capFactor)
    {
    }

    /** A decision and the instance that it is for. */
    struct Decision {
        std::string instance;
        SlotDecision decision;
    };

    /** Applies the state of an instance, unless one of that instance that is as new or newer was applied before.
        @param failureDomain hash of the instance's failure domain.
        @return whether it was applied. */
    bool apply(const ServiceState&, uint64_t failureDomain, TimePoint now);

    /** Grants nothing until this time, because the slots that are in use may not be known yet. */
    void settleUntil(TimePoint time) { m_settledAt = time; }

    /** Grants free slots and rejects requests that cannot start in time. A decision is repeated while the instance's
        states show that it has not arrived.
        @param servers the servers in service. */
    std::vector<Decision> decide(std::span<const QueuedServer> servers, TimePoint now);

    /** Releases the slots and removes the waiting requests of instances whose lease has expired. */
    void expireLeases(TimePoint now);

    /** Number of instances whose latest state says that they have ejected the server. */
    size_t ejectionCount(uint64_t server) const;

    size_t instanceCount() const { return m_holders.size(); }
    std::vector<std::string> instances() const;
    size_t waitingCount() const { return m_waiting.size(); }
    int heldCount(uint64_t server) const;
    bool isEmpty() const { return m_holders.empty(); }

    static constexpr Duration leaseTime = std::chrono::seconds(1);

private:
    enum class Phase {
        Waiting,
        Granted, ///< The instance has not yet confirmed the grant.
        Held,
        Rejected,
    };

    struct Entry {
        Phase phase = Phase::Waiting;
        RequestPriority priority {};
        uint64_t account = 0;
        uint64_t failureDomain = 0;
        TimePoint onTimeUntil {};
        TimePoint startUntil {};
        bool isExpectedLate = false; ///< Whether the requests before it are expected to take until after onTimeUntil.
        std::vector<uint64_t> excluded {};
        uint64_t server = 0;

        bool isLate(TimePoint now) const { return isExpectedLate || now > onTimeUntil; }
        TimePoint grantedAt {};
        SlotDecision decision {};
    };

    struct Holder {
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        TimePoint heardAt {};
        std::map<uint64_t, Entry> entries {}; ///< By number of the request.
        std::vector<uint64_t> ejected {};
    };

    struct WaitingRequest {
        const std::string* instance;
        uint64_t number;
        Entry* entry; ///< Stays valid: the nodes of a map do not move.
    };

    class Capacity;

    void applyWaiting(const std::string& instance, Holder&, const SlotRequest&, uint64_t failureDomain, TimePoint now);
    void applyHeld(const std::string& instance, Holder&, const HeldSlot&, TimePoint now);
    void removeEnded(const std::string& instance, Holder&, const ServiceState&, TimePoint now);
    void removeEntry(const std::string& instance, uint64_t number, Entry&, TimePoint now);
    void removeHolder(const std::string& instance, Holder&, TimePoint now);
    void removeFromWaiting(const std::string& instance, uint64_t number);
    void occupy(Entry&, uint64_t server, TimePoint now);
    void release(Entry&, TimePoint now);
    void recordArrival(TimePoint now);
    bool isBefore(const Entry&, const Entry&, TimePoint now) const;
    void grant(WaitingRequest&, uint64_t server, std::vector<Decision>&, TimePoint now);
    void reject(WaitingRequest&, Duration expectedWait, std::vector<Decision>&);
    void grantFreeSlots(Capacity&, std::vector<Decision>&, TimePoint now);
    void rejectLate(const Capacity&, std::vector<Decision>&, TimePoint now);

    double m_capFactor;
    std::map<std::string, Holder, std::less<>> m_holders;
    std::vector<WaitingRequest> m_waiting;
    std::vector<Decision> m_repeated; ///< Decisions to send again with the next ones.
    std::unordered_map<uint64_t, int> m_held; ///< Requests by server.
    std::unordered_map<uint64_t, RequestRate> m_rates; ///< Of the servers that have named a rate limit.
    std::unordered_map<uint64_t, int> m_heldByAccount;
    TimePoint m_settledAt {};
    TimePoint m_nextRejection {};
    Duration m_holdTime {}; ///< Moving average from grant to release; zero until the first release.
    double m_arrivals = 0; ///< Arrivals within about the last arrivalWindow, with exponential decay.
    TimePoint m_arrivalsAt {};
};

}
