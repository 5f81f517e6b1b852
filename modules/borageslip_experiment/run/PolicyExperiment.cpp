#include "PolicyExperiment.h"

#include <borageslip_core/identity/Hash.h>
#include <borageslip_scheduling/limits/RetryAfter.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace borageslip {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration immediateRetryDelay = milliseconds(100); ///< Before a caller that ignores Retry-After calls again.
    constexpr int maxSends = 2;
    constexpr int maxUnreachableEngines = 3;
    constexpr int prefixTokensPerWait = 12; ///< Per millisecond of the longest wait for a prefix.
    constexpr int prefixWaitDivisor = 3; ///< Of the latency objective; the longest wait for a prefix.
    constexpr uint64_t pendingPrefillLimit = 24'000; ///< Tokens; the default of ServerChoiceLimits.
    constexpr int maxCalls = 3; ///< By a caller that honours Retry-After.
    constexpr int maxImmediateCalls = 20; ///< By a caller that ignores Retry-After.
    constexpr Duration discoveryDelay = milliseconds(1000); ///< Time until the platform no longer lists a crashed engine.
    constexpr int maxDenials = 4; ///< By coordinators, after which a request is queued.
    constexpr double failureProbability = 0.5; ///< For each request at a failing engine.

    RequestId queueId(const CallerRequest& request)
    {
        return RequestId(std::to_string(request.id));
    }

}

PolicyExperiment::PolicyExperiment(const LoadPattern& pattern, const PlacementStrategy& strategy, uint64_t seed)
    : m_pattern(pattern)
    , m_strategy(strategy)
    , m_random(seed)
    , m_engines(static_cast<size_t>(pattern.engines), EngineState(pattern.engine))
    , m_instances(static_cast<size_t>(pattern.instances), InstanceModel(static_cast<size_t>(pattern.engines), static_cast<size_t>(pattern.instances)))
    , m_reservations(m_instances.size(), m_engines.size())
    , m_observer(m_engines.size())
    , m_planner(pattern, m_random)
{
    planArrivals();
    planSpeeds();
    schedule(m_pattern.warmUp, EventType::Sample, 0);
    for (size_t i = 0; i < m_instances.size(); ++i) {
        schedule(m_pattern.reportInterval * i / m_instances.size(), EventType::Report, i);
        schedule(queueCheckInterval * i / m_instances.size(), EventType::QueueCheck, i);
    }
    for (size_t i = 0; i < m_pattern.events.size(); ++i) {
        schedule(m_pattern.events[i].start, EventType::EventStart, i);
        schedule(m_pattern.events[i].end, EventType::EventEnd, i);
    }
}

void PolicyExperiment::planArrivals()
{
    for (auto& arrival : m_planner.planArrivals()) {
        m_requests.push_back(std::make_unique<CallerRequest>(std::move(arrival.request)));
        const auto& request = *m_requests.back();
        for (const auto leaving : arrival.leavesAt)
            schedule(leaving, EventType::Leave, request.id);
        schedule(request.firstArrival, EventType::Call, request.id);
    }
}

void PolicyExperiment::planSpeeds()
{
    const auto& speeds = m_pattern.speeds;
    for (size_t i = 0; i < m_engines.size(); ++i) {
        const bool isSlow = speeds.slowEvery > 0 && i % static_cast<size_t>(speeds.slowEvery) == 0;
        m_engines[i].speedFactor = isSlow ? speeds.slowFactor : 1;
        m_engines[i].applySlowness();
        for (const auto at : m_planner.planSlowdowns()) {
            schedule(at, EventType::NeighbourStart, i);
            schedule(at + speeds.neighbourTime, EventType::NeighbourEnd, i);
        }
    }
}

void PolicyExperiment::schedule(Duration at, EventType type, uint64_t subject)
{
    m_schedule.push({ at, ++m_lastSequenceNumber, type, subject });
}

ExperimentOutcome PolicyExperiment::run()
{
    while (!m_schedule.empty()) {
        const auto next = m_schedule.top();
        m_schedule.pop();
        m_now = next.at;
        dispatch(next);
    }
    std::set<uint64_t> prefixes;
    for (const auto& request : m_requests) {
        if (!request->wasSubmitted)
            continue;
        m_outcome.tokensLeast += request->promptTokens;
        if (request->prefix != 0 && prefixes.insert(request->prefix).second)
            m_outcome.tokensLeast += request->requestClass->prefixTokens;
    }
    for (const auto& engine : m_engines) {
        const auto& counts = engine.model.counts();
        m_outcome.tokensGenerated += counts.generated;
        m_outcome.tokensPrefilled += counts.prefilled;
        m_outcome.tokensPrefillWasted += counts.recomputed;
        m_outcome.tokensReused += counts.reused;
        m_outcome.tokensShareable += counts.shareable;
        m_outcome.preemptions += counts.preemptions;
    }
    m_observer.writeTo(m_outcome);
    return m_outcome;
}

void PolicyExperiment::dispatch(const ScheduledEvent& next)
{
    switch (next.type) {
    case EventType::Call:
        return call(*m_requests[next.subject]);
    case EventType::Leave:
        return leave(*m_requests[next.subject]);
    case EventType::Submit:
        // The caller may have left in the meantime.
        if (m_requests[next.subject]->state == CallerRequest::State::AtEngine)
            submit(*m_requests[next.subject]);
        return;
    case EventType::Sample:
        return sampleLoad();
    case EventType::NeighbourStart:
    case EventType::NeighbourEnd:
        m_engines[next.subject].neighbourFactor = next.type == EventType::NeighbourStart ? m_pattern.speeds.neighbourFactor : 1;
        return m_engines[next.subject].applySlowness();
    case EventType::StepEnd:
        return endStep(next.subject);
    case EventType::Report:
        return report(next.subject);
    case EventType::PrefixWaitEnd:
        return endPrefixWait(*m_requests[next.subject]);
    case EventType::QueueCheck:
        return checkQueue(next.subject);
    case EventType::EventStart:
        return applyEvent(m_pattern.events[next.subject], true);
    case EventType::EventEnd:
        return applyEvent(m_pattern.events[next.subject], false);
    }
}

void PolicyExperiment::call(CallerRequest& request)
{
    if (request.state == CallerRequest::State::Ended)
        return;
    ++request.callCount;
    request.arrival = m_now;
    request.sendCount = 0;
    request.triedEngines.clear();
    request.instance = m_planner.drawInstance();
    auto& instance = m_instances[request.instance];
    instance.retryBudget.recordRequest(now());
    instance.priorityReserve.recordArrival(request.requestPriority(), now());
    if (instance.queue.isEmpty() && place(request))
        return;
    if (request.state == CallerRequest::State::Outside)
        enqueue(request);
}

CallerRequest& PolicyExperiment::requestOf(const QueuedRequest& queued)
{
    return *m_requests[std::stoull(queued.id.text())];
}

void PolicyExperiment::enqueue(CallerRequest& request)
{
    const auto& requestClass = *request.requestClass;
    const double cost = requestCost(request.promptTokens + requestClass.prefixTokens, request.outputTokens);
    const auto id = queueId(request);
    request.state = CallerRequest::State::Queued;
    const auto pushed = m_instances[request.instance].queue.push(request.requestPriority(), { id, AccountId(requestClass.account), cost, now(), timePoint(request.deadline) });
    if (pushed.displaced)
        reject(requestOf(*pushed.displaced));
    if (!pushed.isQueued)
        reject(request);
}

void PolicyExperiment::checkQueue(size_t index)
{
    auto& instance = m_instances[index];
    const auto expired = instance.queue.removeIf([&](const QueuedRequest& queued, size_t) {
        const auto& request = requestOf(queued);
        return now() >= latestStart(queued.queuedAt, queued.deadline, request.requestClass->latencyObjective, {});
    });
    for (const auto& queued : expired)
        reject(requestOf(queued));
    while (const auto* first = instance.queue.front()) {
        auto& request = requestOf(*first);
        if (!choose(request, request.deniedEngines))
            break;
        if (usesReservationModel()) {
            if (!placeQueued(request))
                break;
            continue;
        }
        instance.queue.pop();
        request.state = CallerRequest::State::Outside;
        if (!place(request) && request.state == CallerRequest::State::Outside)
            reject(request);
    }
    if (m_now < m_pattern.length || !instance.queue.isEmpty())
        schedule(m_now + queueCheckInterval, EventType::QueueCheck, index);
}

bool PolicyExperiment::placeQueued(CallerRequest& request)
{
    request.state = CallerRequest::State::Outside;
    const bool isPlaced = place(request) || request.state != CallerRequest::State::Outside;
    if (isPlaced)
        m_instances[request.instance].queue.remove(queueId(request));
    else
        request.state = CallerRequest::State::Queued;
    return isPlaced;
}

void PolicyExperiment::sampleLoad()
{
    m_observer.sample(m_reservations.inFlight());
    if (m_now + LoadObserver::sampleInterval < m_pattern.length)
        schedule(m_now + LoadObserver::sampleInterval, EventType::Sample, 0);
}

void PolicyExperiment::report(size_t index)
{
    for (size_t receiver = 0; receiver < m_instances.size(); ++receiver) {
        if (receiver == index)
            continue;
        m_instances[receiver].applyPeerOutcomes(m_instances[index], now());
        m_instances[receiver].applyPeerUsage(m_instances[index]);
        m_reservations.applyReport(index, receiver, m_instances[receiver].peerUsage(), m_now);
    }
    m_instances[index].markReported();
    m_instances[index].health.evaluate(now());
    if (m_now < m_pattern.length)
        schedule(m_now + m_pattern.reportInterval, EventType::Report, index);
}

std::optional<size_t> PolicyExperiment::choose(const CallerRequest& request, std::span<const size_t> denied)
{
    auto& instance = m_instances[request.instance];
    const auto tieBreak = hashPair(request.id + 1, static_cast<uint64_t>(request.callCount));
    const int slots = instance.priorityReserve.slotsFor(request.requestPriority(), m_pattern.engine.slots, now());
    std::vector<ServerCandidate> candidates;
    std::vector<size_t> engines;
    for (size_t i = 0; i < m_engines.size(); ++i) {
        if (m_engines[i].isDown && m_now - m_engines[i].downSince > discoveryDelay)
            continue;
        ServerCandidate candidate;
        candidate.hash = InstanceModel::hashOf(i);
        candidate.slots = slots;
        candidate.isExcluded = std::find(request.triedEngines.begin(), request.triedEngines.end(), candidate.hash) != request.triedEngines.end()
            || std::find(denied.begin(), denied.end(), i) != denied.end();
        if (m_strategy.usesSpeeds())
            candidate.slowness = m_reservations.slowness(request.instance, i, now());
        candidate.isLoadOutdated = usesReservationModel() && m_reservations.isOutdated(request.instance, i, m_now);
        candidate.isEjected = instance.isEjected(i, m_now) || instance.health.isAvoided(candidate.hash, tieBreak, now());
        const auto add = [&](const InstanceModel::EngineUsage& usage) {
            candidate.inFlight += usage.inFlight;
            candidate.pendingPrefill += usage.pendingPrefill;
        };
        if (m_strategy.usesCurrentLoads) {
            for (const auto& other : m_instances)
                add(other.ownUsage()[i]);
        } else if (usesReservationModel()) {
            add(m_reservations.known(instance, request.instance, i));
        } else {
            candidate.isLoadOutdated = m_strategy.hasCoordinators && instance.isLoadOutdated(i, now());
            const bool isStated = m_strategy.hasCoordinators && !candidate.isLoadOutdated;
            add(instance.ownUsage()[i]);
            add(isStated ? instance.statedUsage(i).usage : instance.peerUsage()[i]);
        }
        candidates.push_back(candidate);
        engines.push_back(i);
    }
    ServerChoiceLimits limits;
    if (m_strategy.usesTwoChoices())
        limits.leastLoadedRule = leastLoadedRuleFor(m_pattern.reportInterval / 2);
    const auto chosen = m_strategy.choose(candidates, request.prefix, tieBreak, limits);
    return chosen ? std::optional(engines[*chosen]) : std::nullopt;
}

std::optional<size_t> PolicyExperiment::reserve(CallerRequest& request)
{
    request.denials = 0;
    if (!usesReservationModel())
        return choose(request, request.deniedEngines);
    auto& instance = m_instances[request.instance];
    const int slots = instance.priorityReserve.slotsFor(request.requestPriority(), m_pattern.engine.slots, now());
    const ReservationLimits limits { static_cast<uint32_t>(slots), request.prefix == 0 ? 0 : static_cast<uint64_t>(ServerChoiceLimits().pendingPrefill) };
    std::vector<size_t> denied;
    while (denied.size() < maxDenials) {
        const auto engine = choose(request, denied);
        if (!engine || m_reservations.decide(m_instances, request.instance, *engine, limits, m_now, now()))
            return engine;
        denied.push_back(*engine);
        ++request.denials;
        ++m_outcome.denials;
    }
    return std::nullopt;
}

bool PolicyExperiment::place(CallerRequest& request)
{
    request.deniedEngines.clear();
    for (int i = 0; i < maxUnreachableEngines;) {
        const auto engine = reserve(request);
        if (!engine || request.deniedEngines.size() >= maxDenials)
            return false;
        if (m_strategy.hasCoordinators && !m_engines[*engine].isDown && !isGranted(request, *engine)) {
            request.deniedEngines.push_back(*engine);
            ++m_outcome.denials;
            continue;
        }
        ++i;
        if (send(request, *engine))
            return true;
        if (request.state == CallerRequest::State::Ended)
            return true;
    }
    return false;
}

InstanceModel::EngineUsage PolicyExperiment::totalUsage(size_t engine) const
{
    InstanceModel::EngineUsage total;
    for (const auto& instance : m_instances) {
        total.inFlight += instance.ownUsage()[engine].inFlight;
        total.pendingPrefill += instance.ownUsage()[engine].pendingPrefill;
    }
    return total;
}

bool PolicyExperiment::isGranted(const CallerRequest& request, size_t engine)
{
    auto& instance = m_instances[request.instance];
    const auto total = totalUsage(engine);
    const auto& own = instance.ownUsage()[engine];
    instance.statedUsage(engine) = { { total.inFlight - own.inFlight, total.pendingPrefill - own.pendingPrefill }, now() };
    int inFlight = 0;
    for (size_t i = 0; i < m_engines.size(); ++i)
        inFlight += instance.ownUsage()[i].inFlight + instance.peerUsage()[i].inFlight;
    const ReservationContext context { { InstanceModel::hashOf(engine), static_cast<uint32_t>(std::max(0, total.inFlight)), static_cast<uint64_t>(std::max<int64_t>(0, total.pendingPrefill)) },
        static_cast<double>(inFlight) / static_cast<double>(m_engines.size()) };
    const int slots = instance.priorityReserve.slotsFor(request.requestPriority(), m_pattern.engine.slots, now());
    return canGrantReservation(context, { static_cast<uint32_t>(slots), request.prefix == 0 ? 0 : pendingPrefillLimit }, ServerChoiceLimits {}.capFactor);
}

void PolicyExperiment::submit(CallerRequest& request)
{
    auto& engine = m_engines[request.engine];
    if (engine.isDown) {
        releaseEngine(request);
        m_instances[request.instance].ejectUnreachable(request.engine, m_now);
        return afterFailure(request);
    }
    request.state = CallerRequest::State::AtEngine;
    request.sentAt = m_now;
    request.wasSubmitted = true;
    engine.model.submit({ request.id, request.prefix, request.requestClass->prefixTokens, request.promptTokens, request.outputTokens });
    if (!engine.isBusy)
        startStep(request.engine);
}

bool PolicyExperiment::awaitsPrefix(CallerRequest& request)
{
    const auto tokens = request.requestClass->prefixTokens;
    if (!m_strategy.sharesPrefills || request.prefix == 0 || !PrefixFlights::isShared(static_cast<uint64_t>(tokens)))
        return false;
    request.prefillsPrefix = request.pendingPrefill > request.promptTokens;
    if (request.prefillsPrefix) {
        m_prefixFlights.begin(prefixAt(request), request.id, static_cast<uint64_t>(tokens), now());
        return false;
    }
    const auto until = m_prefixFlights.wait(prefixAt(request), { request.id, request.id }, now());
    if (!until)
        return false;
    const Duration willing = std::min<Duration>(milliseconds(tokens / prefixTokensPerWait), request.requestClass->latencyObjective / prefixWaitDivisor);
    request.state = CallerRequest::State::AwaitingPrefix;
    schedule(m_now + std::min<Duration>(willing, *until - now()), EventType::PrefixWaitEnd, request.id);
    return true;
}

void PolicyExperiment::endPrefixWait(CallerRequest& request)
{
    if (request.state == CallerRequest::State::AwaitingPrefix)
        submit(request);
}

void PolicyExperiment::endPrefill(CallerRequest& request, bool isFinished)
{
    if (!std::exchange(request.prefillsPrefix, false))
        return;
    if (isFinished) {
        for (const auto id : m_prefixFlights.finish(prefixAt(request), request.id, now()))
            endPrefixWait(*m_requests[id]);
        return;
    }
    const auto failure = m_prefixFlights.fail(prefixAt(request), request.id, now());
    if (!failure.next)
        return;
    auto& next = *m_requests[*failure.next];
    next.prefillsPrefix = true;
    if (next.state != CallerRequest::State::AwaitingPrefix)
        return endPrefill(next, false);
    m_instances[next.instance].removePendingPrefill(next.engine, -next.requestClass->prefixTokens);
    m_reservations.add(next.engine, { 0, next.requestClass->prefixTokens });
    next.pendingPrefill += next.requestClass->prefixTokens;
    submit(next);
}

bool PolicyExperiment::send(CallerRequest& request, size_t index)
{
    auto& engine = m_engines[index];
    auto& instance = m_instances[request.instance];
    const auto hash = InstanceModel::hashOf(index);
    request.triedEngines.push_back(hash);
    if (engine.isDown) {
        instance.ejectUnreachable(index, m_now);
        return false;
    }
    ++request.sendCount;
    instance.health.recordSend(hash, now());
    request.engine = index;
    request.sentAt = m_now;
    if (engine.isFailing && draw() < failureProbability) {
        instance.recordFailure(index, now());
        afterFailure(request);
        return true;
    }
    request.pendingPrefill = instance.uncachedTokens(index, request);
    if (m_strategy.hasCoordinators)
        request.pendingPrefill = request.promptTokens + (request.prefix == 0 || engine.prefixes.record(request.prefix) ? 0 : request.requestClass->prefixTokens);
    instance.begin(index, request.pendingPrefill);
    m_reservations.add(index, { 1, request.pendingPrefill });
    if (usesReservationModel()) {
        request.state = CallerRequest::State::AtEngine;
        schedule(m_now + m_pattern.coordinators.roundTrip * (request.denials + 1), EventType::Submit, request.id);
    } else if (!awaitsPrefix(request))
        submit(request);
    return true;
}

void PolicyExperiment::afterFailure(CallerRequest& request)
{
    request.state = CallerRequest::State::Outside;
    auto& instance = m_instances[request.instance];
    const bool canRetry = request.requestClass->mayRunAgain && !request.hasDeliveredFirstToken && request.sendCount < maxSends;
    if (canRetry && instance.retryBudget.tryRetry(now())) {
        ++m_outcome.retries;
        if (place(request))
            return;
    }
    end(request, &ClassOutcome::failed);
}

void PolicyExperiment::clearPendingPrefill(CallerRequest& request)
{
    m_reservations.add(request.engine, { 0, -request.pendingPrefill });
    m_instances[request.instance].removePendingPrefill(request.engine, request.pendingPrefill);
    request.pendingPrefill = 0;
}

void PolicyExperiment::releaseEngine(CallerRequest& request)
{
    clearPendingPrefill(request);
    m_reservations.add(request.engine, { -1, 0 });
    m_instances[request.instance].end(request.engine);
}

void PolicyExperiment::reject(CallerRequest& request)
{
    request.state = CallerRequest::State::Outside;
    ++m_outcome.rejections;
    const auto timeLeft = std::chrono::duration_cast<milliseconds>(request.deadline - m_now);
    const Duration delay = request.retriesImmediately ? immediateRetryDelay : Duration(jitteredRetryAfter(timeLeft, m_random));
    const int callLimit = request.retriesImmediately ? maxImmediateCalls : maxCalls;
    if (request.callCount >= callLimit || m_now + delay >= request.deadline)
        return end(request, &ClassOutcome::rejected);
    schedule(m_now + delay, EventType::Call, request.id);
}

void PolicyExperiment::leave(CallerRequest& request)
{
    if (request.state == CallerRequest::State::Ended)
        return;
    if (request.state == CallerRequest::State::Queued)
        m_instances[request.instance].queue.remove(queueId(request));
    if (request.state == CallerRequest::State::AwaitingPrefix)
        releaseEngine(request);
    if (request.state == CallerRequest::State::AtEngine) {
        m_outcome.tokensPrefillWasted += m_engines[request.engine].model.prefilledFor(request.id);
        m_engines[request.engine].model.cancel(request.id);
        releaseEngine(request);
        endPrefill(request, false);
    }
    end(request, m_now < request.deadline ? &ClassOutcome::gaveUp : &ClassOutcome::timedOut);
}

void PolicyExperiment::end(CallerRequest& request, int ClassOutcome::*counter)
{
    request.state = CallerRequest::State::Ended;
    if (!isCounted(request))
        return;
    auto& outcome = m_outcome.classes[request.requestClass->account + "/" + request.requestClass->name];
    ++outcome.offered;
    ++(outcome.*counter);
    if (counter == &ClassOutcome::onTime || counter == &ClassOutcome::late)
        outcome.tokensDelivered += request.outputTokens;
}

void PolicyExperiment::startStep(size_t index)
{
    auto& engine = m_engines[index];
    Duration duration {};
    const auto output = engine.model.step(duration);
    engine.output.assign(output.begin(), output.end());
    engine.isBusy = true;
    // The crash count in the subject lets endStep discard a step that a crash interrupted.
    schedule(m_now + duration, EventType::StepEnd, index + engine.crashCount * m_engines.size());
}

void PolicyExperiment::endStep(uint64_t subject)
{
    const auto index = subject % m_engines.size();
    auto& engine = m_engines[index];
    if (subject / m_engines.size() != engine.crashCount)
        return;
    const auto output = std::exchange(engine.output, {});
    for (const auto& item : output)
        deliver(item);
    engine.isBusy = false;
    if (!engine.model.isIdle())
        startStep(index);
}

void PolicyExperiment::deliver(const StepOutput& item)
{
    auto& request = *m_requests[item.id];
    if (request.state != CallerRequest::State::AtEngine)
        return;
    if (item.isFirstToken) {
        request.hasDeliveredFirstToken = true;
        request.firstToken = m_now;
        clearPendingPrefill(request);
        endPrefill(request, true);
        if (m_strategy.usesSpeeds())
            m_reservations.recordSlowness(request.instance, request.engine, static_cast<int>(std::lround(m_engines[request.engine].slowness() * 100)), now());
        if (isCounted(request))
            m_observer.recordFirstToken(m_now - request.firstArrival);
        m_instances[request.instance].recordAnswer(request.engine, m_now - request.sentAt, timePoint(request.sentAt), now());
    }
    if (!item.isFinished)
        return;
    releaseEngine(request);
    if (isCounted(request))
        m_observer.recordCompletion(m_now - request.firstArrival);
    const bool isOnTime = request.firstToken - request.firstArrival <= request.requestClass->latencyObjective;
    end(request, isOnTime ? &ClassOutcome::onTime : &ClassOutcome::late);
}

void PolicyExperiment::crash(size_t index)
{
    auto& engine = m_engines[index];
    engine.isDown = true;
    engine.downSince = m_now;
    engine.isBusy = false;
    ++engine.crashCount;
    engine.prefixes = {};
    const auto waiting = m_prefixFlights.drop(InstanceModel::hashOf(index));
    for (const auto& [id, prefilled] : engine.model.crash()) {
        auto& request = *m_requests[id];
        if (request.state != CallerRequest::State::AtEngine)
            continue;
        m_outcome.tokensPrefillWasted += prefilled;
        releaseEngine(request);
        request.prefillsPrefix = false;
        m_instances[request.instance].ejectUnreachable(index, m_now);
        afterFailure(request);
    }
    for (const auto id : waiting) {
        auto& request = *m_requests[id];
        if (request.state != CallerRequest::State::AwaitingPrefix)
            continue;
        releaseEngine(request);
        request.state = CallerRequest::State::Outside;
        if (!place(request) && request.state == CallerRequest::State::Outside)
            enqueue(request);
    }
}

void PolicyExperiment::applyEvent(const PatternEvent& event, bool isStart)
{
    const auto affected = static_cast<size_t>(std::lround(event.share * static_cast<double>(m_engines.size())));
    for (size_t i = 0; i < std::min(affected, m_engines.size()); ++i) {
        if (event.kind == PatternEvent::Kind::Crash && isStart)
            crash(i);
        else if (event.kind == PatternEvent::Kind::Crash)
            m_engines[i].isDown = false;
        else if (event.kind == PatternEvent::Kind::Slow) {
            m_engines[i].eventFactor = isStart ? event.factor : 1;
            m_engines[i].applySlowness();
        } else if (event.kind == PatternEvent::Kind::Failing)
            m_engines[i].isFailing = isStart;
    }
}

}
