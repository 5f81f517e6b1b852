#pragma once

#include "../placement/SlotTicket.h"
#include "CoordinationHost.h"

#include <map>
#include <memory>

namespace borageslip {

/** Both sides of the coordination of services whose slots are granted from one queue for the fleet: the requests of this
    instance at the coordinators of their services, and the queues of the services that this instance coordinates.

    A service has one coordinator, the instance on which all agree that know the same instances. It is replaced when it
    does not reply: the next one asks all instances for their slots and grants none until they can have replied. An
    instance that gets a message for a service that it does not coordinate names the coordinator, and checks that the
    coordinator replies.

    Does no I/O and has no timers: messages go through the CoordinationHost, and poll() does what is due. Not
    thread-safe.
    @see ServiceQueue, SlotTicket */
class ServiceCoordination {
public:
    /** @param capFactor load cap of a server as a multiple of the mean requests per server. */
    ServiceCoordination(const Clock&, CoordinationHost&, std::string ownName, uint64_t incarnation, double capFactor);
    ~ServiceCoordination();
    ServiceCoordination(const ServiceCoordination&) = delete;
    ServiceCoordination& operator=(const ServiceCoordination&) = delete;

    /** Queues a request for a slot. @param onDecision called when the outcome has changed; must not destroy the ticket. */
    std::unique_ptr<SlotTicket> requestSlot(SlotDemand, std::function<void()> onDecision);

    void receive(const ServiceState&);
    void receive(const ServiceDecisions&);
    void receive(const CoordinatorNotice&);

    /** Sends what has changed or is due, and decides on the queues of this instance. */
    void poll();

    /** Time of the next call of poll(); nothing when it is not needed. */
    std::optional<TimePoint> nextPoll() const;

    /** Requests of all instances that wait in the queues of this instance. */
    size_t waitingCount() const;

    /** Requests of this instance that wait for a slot. */
    size_t ownWaitingCount() const;
    size_t coordinatedServiceCount() const { return m_queues.size(); }

private:
    friend class SlotTicket;

    /** Requests of this instance for one service, and the exchange of messages with its coordinator. */
    struct Client {
        std::map<uint64_t, SlotTicket*> tickets {}; ///< By number.
        std::string target {}; ///< The instance to which the last state was sent.
        std::string named {}; ///< Coordinator named by another instance, used until namedUntil.
        TimePoint namedUntil {};
        TimePoint sentAt {};
        uint64_t unansweredSequence = 0; ///< Sequence of the last state that expects a reply; 0 when the reply has arrived.
        TimePoint unansweredSince {}; ///< Since when no coordinator has replied to states that expect a reply.
        TimePoint timeoutSince {}; ///< The same, from the last timeout on.
        int timeouts = 0; ///< Consecutive ones, of the current target.
        int redirects = 0; ///< Consecutive replies that named another coordinator.
        bool hasChanged = false;
        bool isProbe = false; ///< A reply is wanted although there are no requests.
        bool isSuspected = false; ///< Whether another instance got no replies from the coordinator; then one timeout suffices.
        bool repeatsEnd = false; ///< Whether the last state has to be repeated, because it told the end of a request.
    };

    struct Queue {
        explicit Queue(double capFactor)
            : slots(capFactor)
        {
        }

        ServiceQueue slots;
        TimePoint polledAt {};
    };

    void removeTicket(const SlotTicket&);
    void sendSoon(const std::string& service);

    static size_t waitingTickets(const Client&);
    std::optional<std::string> target(const std::string& service, const Client&) const;
    ServiceState stateOf(const std::string& service, const Client&) const;
    void sendState(const std::string& service, Client&);
    void pollClient(const std::string& service, Client&);
    void handleTimeout(const std::string& service, Client&);
    static void giveUpWaiting(Client&);
    std::optional<TimePoint> nextPoll(const Client&) const;
    void recordAnswer(Client&, const ServiceDecisions&);
    void followRedirect(Client&, const ServiceDecisions&);
    void nameCoordinator(Client&, const std::string& coordinator);
    void probe(const std::string& service);

    Queue& activeQueue(const std::string& service);
    void settle(const std::string& service, Queue&);
    void pollQueues();
    void handOver(const std::string& service, const Queue&, const std::string& successor);
    void decide(const std::string& service, Queue&, const ServiceState* answered);
    std::vector<QueuedServer> usableServers(const std::string& service, const Queue&) const;

    const Clock& m_clock;
    CoordinationHost& m_host;
    std::string m_ownName;
    uint64_t m_incarnation;
    double m_capFactor;
    uint64_t m_sequence = 0;
    uint64_t m_nextNumber = 0;
    std::map<std::string, Client, std::less<>> m_clients; ///< By service.
    std::map<std::string, Queue, std::less<>> m_queues; ///< By service; of the services that this instance coordinates.
    std::shared_ptr<ServiceCoordination*> m_self; ///< Lets tickets outlive the coordination.
};

}
