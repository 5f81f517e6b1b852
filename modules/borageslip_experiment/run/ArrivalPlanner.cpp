#include "ArrivalPlanner.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace borageslip {

namespace {

    uint64_t prefixIdentity(size_t classIndex, uint64_t number)
    {
        return hashPair(classIndex + 1, number) | 1;
    }

}

double ArrivalPlanner::rateFactor(const PatternClass& requestClass, Duration at) const
{
    double factor = 1;
    for (const auto& event : m_pattern.events) {
        const bool applies = (event.requestClass.empty() || event.requestClass == requestClass.name) && (event.account.empty() || event.account == requestClass.account);
        if (event.kind == PatternEvent::Kind::Surge && applies && event.isActive(at))
            factor *= event.factor;
    }
    return factor;
}

ArrivalPlanner::Arrival ArrivalPlanner::drawRequest(const PatternClass& requestClass, size_t index, Duration at)
{
    const auto between = [&](const DrawRange& range) { return std::uniform_int_distribution<int64_t>(range.from, range.to)(m_random); };
    Arrival arrival;
    auto& request = arrival.request;
    request.id = m_arrivals.size();
    request.requestClass = &requestClass;
    // Squaring skews the distribution, so that a quarter of the prefixes gets half of the requests.
    auto prefix = static_cast<uint64_t>(std::pow(draw(), 2) * requestClass.prefixes);
    request.promptTokens = between(requestClass.promptTokens);
    request.outputTokens = std::max<int64_t>(1, between(requestClass.outputTokens));
    request.firstArrival = at;
    request.deadline = at + requestClass.timeout;
    for (const auto& event : m_pattern.events) {
        const bool isAffected = draw() < event.share;
        if (!isAffected || !event.isActive(at))
            continue;
        if (event.kind == PatternEvent::Kind::HotPrefix)
            prefix = 0;
        else if (event.kind == PatternEvent::Kind::RetryAtOnce)
            request.retriesImmediately = true;
        else if (event.kind == PatternEvent::Kind::GiveUp)
            arrival.leavesAt.push_back(at + event.giveUpAfter);
    }
    request.prefix = requestClass.prefixTokens == 0 ? 0 : prefixIdentity(index, prefix);
    arrival.leavesAt.push_back(request.deadline);
    return arrival;
}

void ArrivalPlanner::planArrivals(const PatternClass& requestClass, size_t index)
{
    double maxFactor = 1;
    for (const auto& event : m_pattern.events)
        maxFactor = event.kind == PatternEvent::Kind::Surge ? std::max(maxFactor, 1.0) * std::max(1.0, event.factor) : maxFactor;
    // Thinning of a Poisson process: draws arrivals at the highest rate and keeps those that the current rate allows.
    std::exponential_distribution<> gap(requestClass.rate * maxFactor);
    for (double at = gap(m_random);; at += gap(m_random)) {
        const auto when = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
        if (when >= m_pattern.length)
            return;
        if (draw() * maxFactor >= rateFactor(requestClass, when))
            continue;
        m_arrivals.push_back(drawRequest(requestClass, index, when));
    }
}

std::vector<ArrivalPlanner::Arrival> ArrivalPlanner::planArrivals()
{
    for (size_t i = 0; i < m_pattern.classes.size(); ++i)
        planArrivals(m_pattern.classes[i], i);
    return std::exchange(m_arrivals, {});
}

std::vector<Duration> ArrivalPlanner::planSlowdowns()
{
    const auto& speeds = m_pattern.speeds;
    std::vector<Duration> starts;
    if (speeds.neighbourShare <= 0)
        return starts;
    const double busy = std::chrono::duration<double>(speeds.neighbourTime).count();
    std::exponential_distribution<> pause(speeds.neighbourShare / (busy * (1 - speeds.neighbourShare)));
    for (Duration at {}; at < m_pattern.length; at += speeds.neighbourTime) {
        at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause(m_random)));
        starts.push_back(at);
    }
    return starts;
}

size_t ArrivalPlanner::drawInstance()
{
    const auto instances = static_cast<size_t>(m_pattern.instances);
    const auto& shares = m_pattern.callerShares;
    if (shares.size() == 1)
        return std::uniform_int_distribution<size_t>(0, instances - 1)(m_random);
    std::vector<double> weights;
    for (size_t i = 0; i < instances; ++i)
        weights.push_back(shares[i % shares.size()]);
    return std::discrete_distribution<size_t>(weights.begin(), weights.end())(m_random);
}

}
