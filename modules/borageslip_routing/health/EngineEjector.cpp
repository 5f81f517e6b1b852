#include "EngineEjector.h"

#include <algorithm>

namespace borageslip {

namespace {
    // An engine of weight 0 is ejected: it receives only probe requests.
    constexpr std::array weightSteps { 1.0, 0.5, 0.2, 0.0 };
    constexpr size_t ejectedStep = weightSteps.size() - 1;
}

void EngineEjector::addEngine(EngineHash engine)
{
    m_engines.try_emplace(engine);
}

void EngineEjector::setFleetSize(size_t engines, size_t loweredByPeers)
{
    m_fleetEngines = engines;
    m_loweredByPeers = loweredByPeers;
}

void EngineEjector::record(EngineHash engine, const AttemptOutcome& outcome, TimePoint now)
{
    using enum AttemptOutcome::Kind;
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || outcome.kind == CallerAborted || outcome.kind == CredentialExpired)
        return;
    auto& state = found->second;
    const bool isEarlierConnection = outcome.connection < state.newestConnection;
    state.newestConnection = std::max(state.newestConnection, outcome.connection);
    if (outcome.requestStarted < state.lastChange)
        return;
    if (outcome.kind == EngineFailure) {
        if (!isEarlierConnection)
            ++state.failures;
        return;
    }
    ++state.successes;
    state.latencies.at(indexOf(outcome.workClass)).record(outcome.timeToFirstToken, now);
}

void EngineEjector::recordPeerOutcomes(EngineHash engine, uint32_t successes, uint32_t failures, TimePoint now)
{
    constexpr Duration reportDelay = std::chrono::seconds(1);
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || now - found->second.lastChange < reportDelay)
        return;
    found->second.successes += successes;
    found->second.failures += failures;
}

std::vector<WeightChange> EngineEjector::evaluate(TimePoint now)
{
    const auto medians = fleetMedians(now);
    const size_t fleet = std::max(m_fleetEngines, m_engines.size());
    const auto maximumLowered = static_cast<size_t>(m_settings.maximumLoweredFraction * static_cast<double>(fleet) + 1e-9);
    size_t lowered = loweredCount() + m_loweredByPeers;

    std::vector<WeightChange> changes;
    for (auto& [engine, state] : m_engines) {
        if (now - state.lastChange < m_settings.cooldown)
            continue;
        const auto health = assess(state, medians, now);
        size_t step = state.step;
        if (health == Health::Unhealthy && step < ejectedStep && (step > 0 || lowered < maximumLowered))
            ++step;
        else if (health == Health::Healthy && step > 0)
            --step;
        if (step == state.step) {
            // Outcomes are evaluated only once, so that rare failures do not accumulate over hours.
            if (health != Health::TooFewSamples)
                state.successes = state.failures = 0;
            continue;
        }
        if (state.step == 0)
            ++lowered;
        else if (step == 0)
            --lowered;
        state.isRecovering = step < state.step;
        state.step = step;
        state.lastChange = now;
        state.successes = state.failures = 0;
        for (auto& latency : state.latencies)
            latency.clear();
        changes.push_back({ engine, weightSteps.at(step) });
    }
    return changes;
}

bool EngineEjector::isProbeDue(EngineHash engine, TimePoint now) const
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || found->second.step == 0)
        return false;
    const auto& state = found->second;
    const bool isEjected = state.step == ejectedStep;
    const bool mayHaveRecovered = isEjected || (m_settings.loweredProbeInterval > Duration::zero() && state.isRecovering && state.failures == 0);
    return mayHaveRecovered && now - state.lastProbe >= (isEjected ? m_settings.probeInterval : m_settings.loweredProbeInterval);
}

bool EngineEjector::tryProbe(EngineHash engine, TimePoint now)
{
    if (!isProbeDue(engine, now))
        return false;
    m_engines.at(engine).lastProbe = now;
    return true;
}

double EngineEjector::weight(EngineHash engine) const
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? 1.0 : weightSteps.at(found->second.step);
}

size_t EngineEjector::loweredCount() const
{
    return static_cast<size_t>(std::count_if(m_engines.begin(), m_engines.end(), [](const auto& entry) { return entry.second.step > 0; }));
}

EngineEjector::Health EngineEjector::assess(EngineState& state, const std::array<std::optional<Duration>, workClassCount>& medians, TimePoint now) const
{
    const uint32_t minimum = state.step == ejectedStep ? m_settings.minimumProbes : m_settings.minimumSamples;
    if (state.successes + state.failures >= minimum && state.failures >= m_settings.failureFraction * (state.successes + state.failures))
        return Health::Unhealthy;
    // Uses the slowest work class, because an engine may be slow only for the class that fills its batches.
    std::optional<double> worst;
    for (size_t i = 0; i < workClassCount; ++i) {
        const auto own = state.latencies.at(i).quantile(0.5, now, minimum);
        const auto& fleet = medians.at(i);
        if (own && fleet && fleet->count() > 0)
            worst = std::max(worst.value_or(0), static_cast<double>(own->count()) / static_cast<double>(fleet->count()));
    }
    // Without a fleet median to compare with, enough successes raise the weight of an engine that was lowered for
    // failures.
    if (!worst)
        return state.successes >= minimum ? Health::Healthy : Health::TooFewSamples;
    if (*worst > m_settings.slowRatio)
        return Health::Unhealthy;
    return *worst < m_settings.recoveredRatio ? Health::Healthy : Health::Borderline;
}

std::array<std::optional<Duration>, workClassCount> EngineEjector::fleetMedians(TimePoint now)
{
    auto medians = m_fleetMedians;
    for (size_t i = 0; i < workClassCount; ++i) {
        if (medians.at(i))
            continue;
        if (const auto own = localMedian(static_cast<WorkClass>(i), now); own.engines >= 3)
            medians.at(i) = own.median;
    }
    return medians;
}

EngineEjector::LocalMedian EngineEjector::localMedian(WorkClass workClass, TimePoint now)
{
    std::vector<Duration> own;
    for (auto& [engine, state] : m_engines) {
        if (const auto median = state.latencies.at(indexOf(workClass)).quantile(0.5, now, m_settings.minimumSamples))
            own.push_back(*median);
    }
    if (own.empty())
        return {};
    const auto middle = own.begin() + static_cast<std::ptrdiff_t>((own.size() - 1) / 2);
    std::nth_element(own.begin(), middle, own.end());
    return { *middle, own.size() };
}

}
