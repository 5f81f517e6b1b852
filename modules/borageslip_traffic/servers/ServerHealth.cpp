#include "ServerHealth.h"

#include <borageslip_core/identity/Hash.h>

#include <cmath>

namespace borageslip {

namespace {

    // An instance sees a small part of a server's requests, and a failing server has to be found within seconds.
    constexpr Duration cooldown = std::chrono::seconds(1);
    constexpr Duration evaluationInterval = std::chrono::seconds(1);
    constexpr double slowRatio = 3; ///< Loads differ between servers; only a clear difference is taken for slowness.
    constexpr double recoveredRatio = 2;
    constexpr double maximumLoweredFraction = 0.5; ///< One of two; a lowered server is still used when no other has a place.

    EngineEjector::Settings ejectorSettings()
    {
        EngineEjector::Settings settings;
        settings.cooldown = cooldown;
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
    if (weight >= 1 || m_ejector.isProbeDue(server, now))
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
