#include "PolicyExperiment.h"

#include <borageslip_core/identity/Hash.h>
#include <borageslip_traffic/limits/RetryAfter.h>

#include <algorithm>
#include <cmath>

namespace borageslip {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration callerPatience = milliseconds(100); ///< Before a caller that returns at once calls again.
    constexpr int maxSends = 2;
    constexpr int maxUnreachable = 3;
    constexpr int maxCalls = 3; ///< Of a caller that returns when it is told to.
    constexpr int maxHastyCalls = 20; ///< Of a caller that returns at once.
    constexpr Duration listLag = milliseconds(1000); ///< Until a crashed engine has left the platform's list.
    constexpr double failureShare = 0.5; ///< Of the requests at a failing engine.

    RequestId queueId(const CallerRequest& request)
    {
        return RequestId(std::to_string(request.id));
    }

    uint64_t prefixIdentity(size_t requestClass, uint64_t number)
    {
        return hashPair(requestClass + 1, number) | 1;
    }

}

PolicyExperiment::PolicyExperiment(const LoadPattern& pattern, const PlacementStrategy& strategy, uint64_t seed)
    : m_pattern(pattern)
    , m_strategy(strategy)
    , m_random(seed)
    , m_engines(static_cast<size_t>(pattern.engines), EngineState(pattern.engine))
    , m_instances(static_cast<size_t>(pattern.instances), InstanceModel(static_cast<size_t>(pattern.engines), static_cast<size_t>(pattern.instances)))
{
    planArrivals();
    for (size_t i = 0; i < m_instances.size(); ++i) {
        schedule(m_pattern.reportInterval * i / m_instances.size(), Happening::Report, i);
        schedule(queueCheckInterval * i / m_instances.size(), Happening::QueueCheck, i);
    }
    for (size_t i = 0; i < m_pattern.events.size(); ++i) {
        schedule(m_pattern.events[i].start, Happening::EventStart, i);
        schedule(m_pattern.events[i].end, Happening::EventEnd, i);
    }
}

void PolicyExperiment::schedule(Duration at, Happening happening, uint64_t subject)
{
    m_schedule.push({ at, ++m_order, happening, subject });
}

double PolicyExperiment::rateFactor(const PatternClass& kind, Duration at) const
{
    double factor = 1;
    for (const auto& event : m_pattern.events) {
        const bool concerns = (event.requestClass.empty() || event.requestClass == kind.name) && (event.account.empty() || event.account == kind.account);
        if (event.kind == PatternEvent::Kind::Surge && concerns && event.isActive(at))
            factor *= event.factor;
    }
    return factor;
}

CallerRequest PolicyExperiment::drawRequest(const PatternClass& kind, size_t index, Duration at)
{
    const auto between = [&](const DrawRange& range) { return std::uniform_int_distribution<int64_t>(range.from, range.to)(m_random); };
    CallerRequest request;
    request.id = m_requests.size();
    request.kind = &kind;
    // Few beginnings are used often: the square makes a quarter of the numbers take half of the draws.
    auto prefix = static_cast<uint64_t>(std::pow(draw(), 2) * kind.prefixes);
    request.promptTokens = between(kind.promptTokens);
    request.outputTokens = std::max<int64_t>(1, between(kind.outputTokens));
    request.firstArrival = at;
    request.deadline = at + kind.timeout;
    for (const auto& event : m_pattern.events) {
        const bool isHit = draw() < event.share;
        if (!isHit || !event.isActive(at))
            continue;
        if (event.kind == PatternEvent::Kind::HotPrefix)
            prefix = 0;
        else if (event.kind == PatternEvent::Kind::RetryAtOnce)
            request.returnsAtOnce = true;
        else if (event.kind == PatternEvent::Kind::GiveUp)
            schedule(at + event.patience, Happening::Leave, request.id);
    }
    request.prefix = kind.prefixTokens == 0 ? 0 : prefixIdentity(index, prefix);
    schedule(request.deadline, Happening::Leave, request.id);
    return request;
}

void PolicyExperiment::planArrivals(const PatternClass& kind, size_t index)
{
    double highest = 1;
    for (const auto& event : m_pattern.events)
        highest = event.kind == PatternEvent::Kind::Surge ? std::max(highest, 1.0) * std::max(1.0, event.factor) : highest;
    // Thinning: arrivals at the highest rate, of which a share is kept.
    std::exponential_distribution<> gap(kind.rate * highest);
    for (double at = gap(m_random);; at += gap(m_random)) {
        const auto when = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
        if (when >= m_pattern.length)
            return;
        if (draw() * highest >= rateFactor(kind, when))
            continue;
        m_requests.push_back(std::make_unique<CallerRequest>(drawRequest(kind, index, when)));
        schedule(when, Happening::Call, m_requests.back()->id);
    }
}

void PolicyExperiment::planArrivals()
{
    for (size_t i = 0; i < m_pattern.classes.size(); ++i)
        planArrivals(m_pattern.classes[i], i);
}

ExperimentOutcome PolicyExperiment::run()
{
    while (!m_schedule.empty()) {
        const auto next = m_schedule.top();
        m_schedule.pop();
        m_now = next.at;
        dispatch(next);
    }
    for (const auto& engine : m_engines) {
        const auto& counts = engine.model.counts();
        m_outcome.tokensGenerated += counts.generated;
        m_outcome.tokensPrefilled += counts.prefilled;
        m_outcome.tokensPrefilledInVain += counts.prefilledAgain;
        m_outcome.tokensReused += counts.reused;
        m_outcome.tokensShareable += counts.shareable;
        m_outcome.preemptions += counts.preemptions;
    }
    return m_outcome;
}

void PolicyExperiment::dispatch(const Scheduled& next)
{
    switch (next.happening) {
    case Happening::Call:
        return call(*m_requests[next.subject]);
    case Happening::Leave:
        return leave(*m_requests[next.subject]);
    case Happening::StepEnd:
        return endStep(next.subject);
    case Happening::Report:
        return report(next.subject);
    case Happening::QueueCheck:
        return checkQueue(next.subject);
    case Happening::EventStart:
        return applyEvent(m_pattern.events[next.subject], true);
    case Happening::EventEnd:
        return applyEvent(m_pattern.events[next.subject], false);
    }
}

void PolicyExperiment::call(CallerRequest& request)
{
    if (request.state == CallerRequest::State::Ended)
        return;
    ++request.calls;
    request.arrival = m_now;
    request.sends = 0;
    request.tried.clear();
    request.instance = std::uniform_int_distribution<size_t>(0, m_instances.size() - 1)(m_random);
    auto& instance = m_instances[request.instance];
    instance.retryBudget.recordRequest(now());
    instance.urgentReserve.recordArrival(request.urgency(), now());
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
    const auto& kind = *request.kind;
    const double cost = requestCost(request.promptTokens + kind.prefixTokens, request.outputTokens);
    const auto id = queueId(request);
    request.state = CallerRequest::State::Queued;
    const auto pushed = m_instances[request.instance].queue.push(request.urgency(), { id, AccountId(kind.account), cost, now(), timePoint(request.deadline) });
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
        return now() >= latestStart(queued.queuedAt, queued.deadline, request.kind->latencyObjective, {});
    });
    for (const auto& queued : expired)
        reject(requestOf(queued));
    while (const auto* first = instance.queue.front()) {
        auto& request = requestOf(*first);
        if (!choose(request))
            break;
        instance.queue.pop();
        request.state = CallerRequest::State::Outside;
        if (!place(request) && request.state == CallerRequest::State::Outside)
            reject(request);
    }
    if (m_now < m_pattern.length || !instance.queue.isEmpty())
        schedule(m_now + queueCheckInterval, Happening::QueueCheck, index);
}

void PolicyExperiment::report(size_t index)
{
    // The others replace what they knew of this instance; sums are kept per receiver, so the difference is applied.
    for (size_t receiver = 0; receiver < m_instances.size(); ++receiver) {
        if (receiver != index)
            m_instances[receiver].takeOutcomes(m_instances[index], now());
        auto& sums = m_instances[receiver].othersUse();
        for (size_t engine = 0; engine < sums.size() && receiver != index; ++engine) {
            sums[engine].inFlight += m_instances[index].ownUse()[engine].inFlight - m_instances[index].reportedUse()[engine].inFlight;
            sums[engine].pendingPrefill += m_instances[index].ownUse()[engine].pendingPrefill - m_instances[index].reportedUse()[engine].pendingPrefill;
        }
    }
    m_instances[index].markReported();
    m_instances[index].health.evaluate(now());
    if (m_now < m_pattern.length)
        schedule(m_now + m_pattern.reportInterval, Happening::Report, index);
}

std::optional<size_t> PolicyExperiment::choose(const CallerRequest& request)
{
    auto& instance = m_instances[request.instance];
    const auto tieBreak = hashPair(request.id + 1, static_cast<uint64_t>(request.calls));
    const int slots = instance.urgentReserve.slotsFor(request.urgency(), m_pattern.engine.slots, now());
    std::vector<ServerCandidate> candidates;
    std::vector<size_t> engines;
    for (size_t i = 0; i < m_engines.size(); ++i) {
        if (m_engines[i].isDown && m_now - m_engines[i].downSince > listLag)
            continue;
        ServerCandidate candidate;
        candidate.hash = InstanceModel::hashOf(i);
        candidate.slots = slots;
        candidate.isExcluded = std::find(request.tried.begin(), request.tried.end(), candidate.hash) != request.tried.end();
        candidate.isEjected = instance.isEjected(i, m_now) || instance.health.isAvoided(candidate.hash, tieBreak, now());
        const auto add = [&](const InstanceModel::EngineUse& use) {
            candidate.inFlight += use.inFlight;
            candidate.pendingPrefill += use.pendingPrefill;
        };
        if (m_strategy.knowsAllLoads) {
            for (const auto& other : m_instances)
                add(other.ownUse()[i]);
        } else {
            add(instance.ownUse()[i]);
            add(instance.othersUse()[i]);
        }
        candidates.push_back(candidate);
        engines.push_back(i);
    }
    const auto chosen = m_strategy.choose(candidates, request.prefix, tieBreak);
    return chosen ? std::optional(engines[*chosen]) : std::nullopt;
}

bool PolicyExperiment::place(CallerRequest& request)
{
    for (int i = 0; i < maxUnreachable; ++i) {
        const auto engine = choose(request);
        if (!engine)
            return false;
        if (send(request, *engine))
            return true;
        if (request.state == CallerRequest::State::Ended)
            return true;
    }
    return false;
}

bool PolicyExperiment::send(CallerRequest& request, size_t index)
{
    auto& engine = m_engines[index];
    auto& instance = m_instances[request.instance];
    const auto hash = InstanceModel::hashOf(index);
    request.tried.push_back(hash);
    if (engine.isDown) {
        instance.noteUnreachable(index, m_now);
        return false;
    }
    ++request.sends;
    instance.health.recordSend(hash, now());
    request.engine = index;
    request.sentAt = m_now;
    if (engine.isFailing && draw() < failureShare) {
        instance.noteFailure(index, now());
        afterFailure(request);
        return true;
    }
    request.state = CallerRequest::State::AtEngine;
    request.pendingPrefill = instance.uncachedTokens(index, request);
    instance.begin(index, request.pendingPrefill);
    engine.model.submit({ request.id, request.prefix, request.kind->prefixTokens, request.promptTokens, request.outputTokens });
    if (!engine.isBusy)
        startStep(index);
    return true;
}

void PolicyExperiment::afterFailure(CallerRequest& request)
{
    request.state = CallerRequest::State::Outside;
    auto& instance = m_instances[request.instance];
    const bool mayRepeat = request.kind->mayRunAgain && !request.hasAnswered && request.sends < maxSends;
    if (mayRepeat && instance.retryBudget.tryRetry(now())) {
        ++m_outcome.repeats;
        if (place(request))
            return;
    }
    end(request, &ClassOutcome::failed);
}

void PolicyExperiment::noteRead(CallerRequest& request)
{
    m_instances[request.instance].promptRead(request.engine, request.pendingPrefill);
    request.pendingPrefill = 0;
}

void PolicyExperiment::releaseEngine(CallerRequest& request)
{
    noteRead(request);
    m_instances[request.instance].end(request.engine);
}

void PolicyExperiment::reject(CallerRequest& request)
{
    request.state = CallerRequest::State::Outside;
    ++m_outcome.rejections;
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - m_now);
    const Duration back = request.returnsAtOnce ? callerPatience : Duration(jitteredRetryAfter(left, m_random));
    const int calls = request.returnsAtOnce ? maxHastyCalls : maxCalls;
    if (request.calls >= calls || m_now + back >= request.deadline)
        return end(request, &ClassOutcome::rejected);
    schedule(m_now + back, Happening::Call, request.id);
}

void PolicyExperiment::leave(CallerRequest& request)
{
    if (request.state == CallerRequest::State::Ended)
        return;
    if (request.state == CallerRequest::State::Queued)
        m_instances[request.instance].queue.remove(queueId(request));
    if (request.state == CallerRequest::State::AtEngine) {
        m_outcome.tokensPrefilledInVain += m_engines[request.engine].model.prefilledFor(request.id);
        m_engines[request.engine].model.cancel(request.id);
        releaseEngine(request);
    }
    end(request, m_now < request.deadline ? &ClassOutcome::left : &ClassOutcome::timedOut);
}

void PolicyExperiment::end(CallerRequest& request, int ClassOutcome::*counter)
{
    request.state = CallerRequest::State::Ended;
    if (!isCounted(request))
        return;
    auto& outcome = m_outcome.classes[request.kind->account + "/" + request.kind->name];
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
    schedule(m_now + duration, Happening::StepEnd, index + engine.crashes * m_engines.size());
}

void PolicyExperiment::endStep(uint64_t subject)
{
    const auto index = subject % m_engines.size();
    auto& engine = m_engines[index];
    if (subject / m_engines.size() != engine.crashes)
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
        request.hasAnswered = true;
        request.firstToken = m_now;
        noteRead(request);
        m_instances[request.instance].noteAnswer(request.engine, m_now - request.sentAt, timePoint(request.sentAt), now());
    }
    if (!item.isFinished)
        return;
    releaseEngine(request);
    const bool isOnTime = request.firstToken - request.firstArrival <= request.kind->latencyObjective;
    end(request, isOnTime ? &ClassOutcome::onTime : &ClassOutcome::late);
}

void PolicyExperiment::crash(size_t index)
{
    auto& engine = m_engines[index];
    engine.isDown = true;
    engine.downSince = m_now;
    engine.isBusy = false;
    ++engine.crashes;
    for (const auto& [id, prefilled] : engine.model.crash()) {
        auto& request = *m_requests[id];
        if (request.state != CallerRequest::State::AtEngine)
            continue;
        m_outcome.tokensPrefilledInVain += prefilled;
        releaseEngine(request);
        m_instances[request.instance].noteUnreachable(index, m_now);
        afterFailure(request);
    }
}

void PolicyExperiment::applyEvent(const PatternEvent& event, bool isStart)
{
    const auto concerned = static_cast<size_t>(std::lround(event.share * static_cast<double>(m_engines.size())));
    for (size_t i = 0; i < std::min(concerned, m_engines.size()); ++i) {
        if (event.kind == PatternEvent::Kind::Crash && isStart)
            crash(i);
        else if (event.kind == PatternEvent::Kind::Crash)
            m_engines[i].isDown = false;
        else if (event.kind == PatternEvent::Kind::Slow)
            m_engines[i].model.setSlowness(isStart ? event.factor : 1);
        else if (event.kind == PatternEvent::Kind::Failing)
            m_engines[i].isFailing = isStart;
    }
}

}
