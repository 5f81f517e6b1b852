#include "ServerHealth.h"

#include <borageslip_core/identity/Hash.h>

#include <cmath>

namespace borageslip {

namespace {

    // Shorter than the ejector's default, because a failing server must be detected within seconds although each
    // instance sees only a small part of its requests.
    constexpr Duration cooldown = std::chrono::seconds(1);
    constexpr Duration evaluationInterval = std::chrono::seconds(1);
    constexpr Duration loweredProbeInterval = std::chrono::milliseconds(200); ///< Gives enough samples for a decision within one cooldown.
    constexpr double slowRatio = 3; ///< High, because different loads alone make servers differ in latency.
    constexpr double recoveredRatio = 2;
    constexpr double maximumLoweredFraction = 0.5; ///< Allows one of two; a server with a reduced share is still used when no other one has capacity.

    EngineEjector::Settings ejectorSettings()
    {
        EngineEjector::Settings settings;
        settings.cooldown = cooldown;
        settings.loweredProbeInterval = loweredProbeInterval;
        settings.maximumLoweredFraction = maximumLoweredFraction;
        settings.slowRatio = slowRatio;
        settings.recoveredRatio = recoveredRatio;
        return settings;
    }

}

ServerHealth::ServerHealth()
    : m_ejector(ejectorSettings())
{
}

void ServerHealth::recordAnswer(uint64_t server, Duration toFirstByte, TimePoint sentAt, TimePoint now)
{
    m_ejector.record(server, { AttemptOutcome::Kind::FirstToken, WorkClass::Standard, toFirstByte, sentAt, 0 }, now);
}

void ServerHealth::recordFailure(uint64_t server, TimePoint sentAt, TimePoint now)
{
    m_ejector.record(server, { AttemptOutcome::Kind::EngineFailure, WorkClass::Standard, {}, sentAt, 0 }, now);
}

bool ServerHealth::isAvoided(uint64_t server, uint64_t request, TimePoint now) const
{
    const auto weight = m_ejector.weight(server);
    const bool isProbe = weight == 0 && m_ejector.isProbeDue(server, now);
    if (weight >= 1 || isProbe)
        return false;
    const double position = std::ldexp(static_cast<double>(hashPair(request, server)), -64);
    return position >= weight;
}

std::vector<WeightChange> ServerHealth::evaluate(TimePoint now)
{
    if (now < m_nextEvaluation)
        return {};
    m_nextEvaluation = now + evaluationInterval;
    return m_ejector.evaluate(now);
}

}
