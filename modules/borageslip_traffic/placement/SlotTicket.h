#pragma once

#include "../peers/ServiceMessages.h"

#include <borageslip_core/time/Clock.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace borageslip {

class ServiceCoordination;

/** What a request needs of the queue of its service. */
struct SlotDemand {
    std::string service;
    RequestPriority priority;
    uint64_t account = 0; ///< Hash of the client account's name.
    TimePoint onTimeUntil {}; ///< A start up to this time meets the latency objective.
    TimePoint startUntil {}; ///< Last useful start.
    std::vector<uint64_t> excluded {}; ///< Hashes of the servers that must not be chosen.
};

/** A request's place in the queue of its service, and then its slot at a backend server. The destructor leaves the queue
    or releases the slot. Not thread-safe: call it from the event loop that owns the ServiceCoordination. */
class SlotTicket {
public:
    enum class Outcome {
        Waiting,
        Granted,
        Rejected, ///< The request cannot start in time.
        Unanswered, ///< No coordinator answers: the instance has to choose a server by itself.
    };
    static constexpr size_t outcomeCount = 4;

    ~SlotTicket();
    SlotTicket(const SlotTicket&) = delete;
    SlotTicket& operator=(const SlotTicket&) = delete;

    Outcome outcome() const { return m_outcome; }

    /** Hash of the server's id, once there is a slot; otherwise 0. */
    uint64_t server() const { return m_server; }

    /** Expected time until there is capacity, if the request was rejected. */
    std::chrono::milliseconds retryAfter() const { return m_retryAfter; }

    /** The instance that decided; empty if there was no decision. */
    const std::string& coordinator() const { return m_coordinator; }

    /** Records the server that the instance chose without an answer, so that the coordinator learns of it. */
    void useWithoutGrant(uint64_t server);

private:
    friend class ServiceCoordination;

    SlotTicket(std::weak_ptr<ServiceCoordination*> owner, uint64_t number, SlotDemand demand, std::function<void()> onDecision)
        : m_owner(std::move(owner))
        , m_number(number)
        , m_demand(std::move(demand))
        , m_onDecision(std::move(onDecision))
    {
    }

    void decide(Outcome outcome)
    {
        m_outcome = outcome;
        m_onDecision();
    }

    std::weak_ptr<ServiceCoordination*> m_owner;
    uint64_t m_number;
    SlotDemand m_demand;
    std::function<void()> m_onDecision;
    Outcome m_outcome = Outcome::Waiting;
    uint64_t m_server = 0;
    std::chrono::milliseconds m_retryAfter { 0 };
    std::string m_coordinator {};
};

}
