#include "ServiceCoordination.h"

#include <borageslip_core/logging/Log.h>

#include <algorithm>

namespace borageslip {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration replyTimeout = milliseconds(40);
    constexpr int timeoutsBeforeSilence = 3; ///< An instance may pause for up to 100 ms when its share of the processor is used up.
    constexpr Duration renewalInterval = ServiceQueue::leaseTime / 4;
    constexpr Duration endRepeatDelay = milliseconds(50); ///< A lost message of an end costs a slot for this long.
    constexpr Duration longestWithoutAnswer = milliseconds(250);
    constexpr Duration namedCoordinatorLifetime = std::chrono::seconds(1);
    constexpr Duration settleTime = milliseconds(40); ///< Within it, the instances have replied to a new coordinator.
    constexpr Duration queuePollInterval = milliseconds(10);
    constexpr Duration idleQueuePollInterval = milliseconds(100);
    constexpr Duration longestPause = milliseconds(500); ///< After a longer one, other instances may have replaced this coordinator.
    constexpr Duration minStateInterval = milliseconds(5); ///< Between states with many waiting requests.
    constexpr size_t manyWaiting = 8;
    constexpr size_t maxWaitingTickets = 64; ///< Per service and instance.
    constexpr size_t ejectionsToAvoid = 2; ///< Instances that must have ejected a server: one alone may have lost its own path.
    constexpr int maxRedirects = 3;

}

ServiceCoordination::ServiceCoordination(const Clock& clock, CoordinationHost& host, std::string ownName, uint64_t incarnation, double capFactor)
    : m_clock(clock)
    , m_host(host)
    , m_ownName(std::move(ownName))
    , m_incarnation(incarnation)
    , m_capFactor(capFactor)
    , m_self(std::make_shared<ServiceCoordination*>(this))
{
}

ServiceCoordination::~ServiceCoordination() = default;

std::unique_ptr<SlotTicket> ServiceCoordination::requestSlot(SlotDemand demand, std::function<void()> onDecision)
{
    const auto service = demand.service;
    auto& client = m_clients[service];
    std::unique_ptr<SlotTicket> ticket(new SlotTicket(m_self, ++m_nextNumber, std::move(demand), std::move(onDecision)));
    if (waitingTickets(client) >= maxWaitingTickets) {
        ticket->m_outcome = SlotTicket::Outcome::Rejected;
        return ticket;
    }
    client.tickets.emplace(ticket->m_number, ticket.get());
    sendSoon(service);
    return ticket;
}

size_t ServiceCoordination::waitingTickets(const Client& client)
{
    return static_cast<size_t>(std::count_if(client.tickets.begin(), client.tickets.end(), [](const auto& row) { return row.second->m_outcome == SlotTicket::Outcome::Waiting; }));
}

void ServiceCoordination::removeTicket(const SlotTicket& ticket)
{
    const auto found = m_clients.find(ticket.m_demand.service);
    if (found == m_clients.end() || found->second.tickets.erase(ticket.m_number) == 0)
        return;
    // The coordinator knows that a rejected request has ended.
    if (ticket.m_outcome == SlotTicket::Outcome::Rejected)
        return;
    found->second.repeatsEnd = true;
    sendSoon(found->first);
}

void ServiceCoordination::sendSoon(const std::string& service)
{
    m_clients[service].hasChanged = true;
    m_host.schedulePoll();
}

std::optional<std::string> ServiceCoordination::target(const std::string& service, const Client& client) const
{
    if (m_clock.now() < client.namedUntil && m_host.isUsable(client.named))
        return client.named;
    return m_host.serviceCoordinator(service);
}

ServiceState ServiceCoordination::stateOf(const std::string& service, const Client& client) const
{
    const auto now = m_clock.now();
    const auto within = [now](TimePoint until) { return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(until - now)); };
    ServiceState state { m_ownName, m_incarnation, m_sequence, service, client.isProbe || !client.tickets.empty() };
    for (const auto& [number, ticket] : client.tickets) {
        if (state.waiting.size() + state.held.size() >= maxReportedRequests)
            break;
        const auto& demand = ticket->m_demand;
        if (ticket->m_server != 0)
            state.held.push_back({ number, ticket->m_server });
        else if (ticket->m_outcome == SlotTicket::Outcome::Waiting)
            state.waiting.push_back({ number, demand.priority, demand.account, within(demand.onTimeUntil), within(demand.startUntil), demand.excluded });
    }
    state.ejected = m_host.ejectedServersOf(service);
    return state;
}

void ServiceCoordination::sendState(const std::string& service, Client& client)
{
    const auto now = m_clock.now();
    const auto to = target(service, client);
    ++m_sequence;
    const auto state = stateOf(service, client);
    client.sentAt = now;
    client.hasChanged = false;
    if (to != client.target)
        client.timeouts = 0;
    client.target = to.value_or("");
    // The time limit counts from the first state without a reply: an instance with many requests sends states all the time.
    if (state.expectsReply && client.unansweredSequence == 0)
        client.unansweredSince = client.timeoutSince = now;
    client.unansweredSequence = state.expectsReply ? m_sequence : 0;
    client.isProbe = false;
    if (!to)
        return giveUpWaiting(client);
    if (*to == m_ownName)
        receive(state);
    else
        m_host.sendTo(*to, encodeServiceState(state));
}

void ServiceCoordination::handleTimeout(const std::string& service, Client& client)
{
    ++client.timeouts;
    client.timeoutSince = m_clock.now();
    const bool isSilent = client.isSuspected || client.timeouts >= timeoutsBeforeSilence;
    if (isSilent && !client.target.empty()) {
        logEvent(Severity::Warning, "coordinator-silent", { { "member", client.target }, { "service", service } });
        m_host.recordSilence(client.target);
        client.timeouts = 0;
        client.isSuspected = false;
        client.namedUntil = {};
        if (m_host.serviceCoordinator(service) == m_ownName)
            activeQueue(service);
    }
    client.isProbe |= client.tickets.empty();
    sendState(service, client);
}

void ServiceCoordination::giveUpWaiting(Client& client)
{
    for (const auto& [number, ticket] : client.tickets) {
        if (ticket->m_outcome == SlotTicket::Outcome::Waiting)
            ticket->decide(SlotTicket::Outcome::Unanswered);
    }
}

void ServiceCoordination::pollClient(const std::string& service, Client& client)
{
    const auto now = m_clock.now();
    const bool isUnanswered = client.unansweredSequence != 0;
    if (isUnanswered && now - client.unansweredSince >= longestWithoutAnswer)
        giveUpWaiting(client);
    if (isUnanswered && now - client.timeoutSince >= replyTimeout)
        return handleTimeout(service, client);
    const auto sentAgo = now - client.sentAt;
    const bool mayChange = client.tickets.size() < manyWaiting || sentAgo >= minStateInterval;
    if (client.hasChanged && mayChange)
        return sendState(service, client);
    const bool isRepeatDue = client.repeatsEnd && sentAgo >= endRepeatDelay;
    if (isRepeatDue)
        client.repeatsEnd = false;
    if (isRepeatDue || (!client.tickets.empty() && sentAgo >= renewalInterval))
        sendState(service, client);
}

std::optional<TimePoint> ServiceCoordination::nextPoll(const Client& client) const
{
    if (client.hasChanged)
        return client.sentAt + minStateInterval;
    if (client.unansweredSequence != 0)
        return client.timeoutSince + replyTimeout;
    if (client.repeatsEnd)
        return client.sentAt + endRepeatDelay;
    return client.tickets.empty() ? std::nullopt : std::optional(client.sentAt + renewalInterval);
}

std::optional<TimePoint> ServiceCoordination::nextPoll() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](std::optional<TimePoint> due) {
        if (due && (!next || *due < *next))
            next = due;
    };
    for (const auto& [service, client] : m_clients)
        consider(nextPoll(client));
    for (const auto& [service, queue] : m_queues)
        consider(queue.polledAt + (queue.slots.waitingCount() > 0 ? queuePollInterval : idleQueuePollInterval));
    return next;
}

void ServiceCoordination::poll()
{
    for (auto& [service, client] : m_clients)
        pollClient(service, client);
    pollQueues();
}

void ServiceCoordination::nameCoordinator(Client& client, const std::string& coordinator)
{
    if (coordinator == m_ownName || !m_host.isUsable(coordinator))
        return;
    client.named = coordinator;
    client.namedUntil = m_clock.now() + namedCoordinatorLifetime;
}

void ServiceCoordination::probe(const std::string& service)
{
    auto& client = m_clients[service];
    const bool isUnanswered = client.unansweredSequence != 0;
    // A reply that has just arrived shows that the coordinator is reachable.
    if (!isUnanswered && m_clock.now() - client.sentAt < replyTimeout)
        return;
    client.isSuspected = true;
    if (isUnanswered)
        return;
    client.isProbe = true;
    sendSoon(service);
}

void ServiceCoordination::recordAnswer(Client& client, const ServiceDecisions& reply)
{
    if (reply.sender != client.target)
        return;
    client.timeouts = 0;
    client.redirects = 0;
    client.isSuspected = false;
    if (client.named == reply.sender)
        client.namedUntil = m_clock.now() + namedCoordinatorLifetime;
    client.unansweredSince = client.timeoutSince = m_clock.now();
    if (reply.acknowledged >= client.unansweredSequence)
        client.unansweredSequence = 0;
}

void ServiceCoordination::followRedirect(Client& client, const ServiceDecisions& reply)
{
    if (reply.sender != client.target)
        return;
    client.timeouts = 0;
    nameCoordinator(client, reply.coordinator);
    // Further redirects are followed at the next timeout only, because two instances may name each other.
    if (target(reply.service, client) != client.target && ++client.redirects <= maxRedirects)
        sendSoon(reply.service);
}

void ServiceCoordination::receive(const ServiceDecisions& reply)
{
    const auto found = m_clients.find(reply.service);
    if (found == m_clients.end())
        return;
    auto& client = found->second;
    const bool isFromCoordinator = reply.coordinator == reply.sender;
    if (isFromCoordinator)
        recordAnswer(client, reply);
    else
        followRedirect(client, reply);
    for (const auto& decision : reply.decisions) {
        const auto ticket = client.tickets.find(decision.number);
        if (ticket == client.tickets.end() || ticket->second->m_outcome != SlotTicket::Outcome::Waiting)
            continue;
        ticket->second->m_coordinator = reply.sender;
        ticket->second->m_server = decision.server;
        ticket->second->m_retryAfter = decision.retryAfter;
        ticket->second->decide(decision.isGranted ? SlotTicket::Outcome::Granted : SlotTicket::Outcome::Rejected);
    }
}

void ServiceCoordination::receive(const CoordinatorNotice& notice)
{
    const bool isClaim = notice.sender == notice.coordinator && notice.sender != m_ownName;
    if (isClaim && m_host.serviceCoordinator(notice.service) == m_ownName) {
        // The sender took this instance for unreachable. This message shows that it is not, and asks for no answer: both
        // may take themselves for the coordinator for a while.
        m_host.sendTo(notice.sender, encodeServiceDecisions({ m_ownName, notice.service, 0, m_ownName }));
        return;
    }
    const auto found = m_clients.find(notice.service);
    if (found == m_clients.end())
        return;
    nameCoordinator(found->second, notice.coordinator);
    if (!found->second.tickets.empty())
        sendSoon(notice.service);
}

void ServiceCoordination::receive(const ServiceState& state)
{
    const auto coordinator = m_host.serviceCoordinator(state.service);
    if (coordinator != m_ownName) {
        if (state.sender == m_ownName || !coordinator)
            return;
        m_host.sendTo(state.sender, encodeServiceDecisions({ m_ownName, state.service, state.sequence, *coordinator }));
        probe(state.service);
        return;
    }
    auto& queue = activeQueue(state.service);
    if (queue.slots.apply(state, m_host.failureDomainOf(state.sender), m_clock.now()))
        decide(state.service, queue, &state);
}

ServiceCoordination::Queue& ServiceCoordination::activeQueue(const std::string& service)
{
    const auto [found, isNew] = m_queues.try_emplace(service, m_capFactor);
    auto& queue = found->second;
    const auto now = m_clock.now();
    if (isNew || now - queue.polledAt > longestPause)
        settle(service, queue);
    if (isNew)
        m_host.schedulePoll();
    return queue;
}

void ServiceCoordination::settle(const std::string& service, Queue& queue)
{
    logEvent(Severity::Info, "coordinator-begins", { { "service", service } });
    queue.polledAt = m_clock.now();
    queue.slots.settleUntil(m_clock.now() + settleTime);
    m_host.sendToAll(encodeCoordinatorNotice({ m_ownName, service, m_ownName }));
}

void ServiceCoordination::pollQueues()
{
    const auto now = m_clock.now();
    for (auto found = m_queues.begin(); found != m_queues.end();) {
        auto& [service, queue] = *found;
        const auto coordinator = m_host.serviceCoordinator(service);
        if (coordinator != m_ownName) {
            handOver(service, queue, coordinator.value_or(""));
            found = m_queues.erase(found);
            continue;
        }
        ++found;
        if (now - queue.polledAt > longestPause)
            settle(service, queue);
        if (now - queue.polledAt < queuePollInterval)
            continue;
        queue.polledAt = now;
        queue.slots.expireLeases(now);
        if (queue.slots.waitingCount() > 0)
            decide(service, queue, nullptr);
    }
}

void ServiceCoordination::handOver(const std::string& service, const Queue& queue, const std::string& successor)
{
    logEvent(Severity::Info, "coordinator-ends", { { "service", service }, { "successor", successor } });
    if (successor.empty())
        return;
    const auto notice = encodeCoordinatorNotice({ m_ownName, service, successor });
    for (const auto& instance : queue.slots.instances()) {
        if (instance != m_ownName)
            m_host.sendTo(instance, notice);
    }
    if (const auto own = m_clients.find(service); own != m_clients.end() && !own->second.tickets.empty())
        sendSoon(service);
}

std::vector<QueuedServer> ServiceCoordination::usableServers(const std::string& service, const Queue& queue) const
{
    auto servers = m_host.serversOf(service);
    const auto needed = std::min(ejectionsToAvoid, queue.slots.instanceCount());
    const auto isEjected = [&](const QueuedServer& server) { return queue.slots.ejectionCount(server.hash) >= needed; };
    // When all servers are ejected, each is as good as the others.
    if (!std::all_of(servers.begin(), servers.end(), isEjected))
        std::erase_if(servers, isEjected);
    return servers;
}

void ServiceCoordination::decide(const std::string& service, Queue& queue, const ServiceState* answered)
{
    std::map<std::string, ServiceDecisions> replies;
    const auto replyTo = [&](const std::string& instance) -> ServiceDecisions& {
        return replies.try_emplace(instance, ServiceDecisions { m_ownName, service, 0, m_ownName }).first->second;
    };
    if (answered != nullptr && answered->expectsReply)
        replyTo(answered->sender).acknowledged = answered->sequence;
    for (auto& [instance, decision] : queue.slots.decide(usableServers(service, queue), m_clock.now())) {
        if (decision.isGranted)
            m_host.recordGrant(decision.server);
        replyTo(instance).decisions.push_back(decision);
    }
    for (const auto& [instance, reply] : replies) {
        if (instance == m_ownName)
            receive(reply);
        else
            m_host.sendTo(instance, encodeServiceDecisions(reply));
    }
}

size_t ServiceCoordination::ownWaitingCount() const
{
    size_t count = 0;
    for (const auto& [service, client] : m_clients)
        count += waitingTickets(client);
    return count;
}

size_t ServiceCoordination::waitingCount() const
{
    size_t count = 0;
    for (const auto& [service, queue] : m_queues)
        count += queue.slots.waitingCount();
    return count;
}

}
