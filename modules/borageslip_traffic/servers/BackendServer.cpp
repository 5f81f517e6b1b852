#include "BackendServer.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>

namespace borageslip {

namespace {

    constexpr int failuresBeforeEjection = 2;
    constexpr Duration shortestEjection = std::chrono::milliseconds(500);
    constexpr Duration longestEjection = std::chrono::seconds(4);

}

BackendServer::BackendServer(ServerDescription description, const Clock& clock, const boost::asio::any_io_executor& executor)
    : m_description(std::move(description))
    , m_clock(clock)
    , m_hash(hashBytes(m_description.id))
    , m_pool(clock, executor, m_description.address)
{
    m_cold.recordEntry(m_description.coldTimeLeft, m_clock.now());
}

void BackendServer::update(ServerDescription description)
{
    m_description = std::move(description);
    m_isRemoved = false;
    m_cold.recordEntry(m_description.coldTimeLeft, m_clock.now());
    if (m_description.isDraining)
        m_pool.closeAll();
}

void BackendServer::remove()
{
    m_isRemoved = true;
    m_pool.closeAll();
}

void BackendServer::setEvacuated(bool isEvacuated)
{
    m_isEvacuated = isEvacuated;
    if (isEvacuated)
        m_pool.closeAll();
}

void BackendServer::setLeaving()
{
    m_allowance.setLeaving();
    m_pool.closeAll();
}

void BackendServer::inherit(const BackendServer& earlier)
{
    const auto& other = earlier.m_description;
    const bool isSameIncarnation = other.id == m_description.id && other.startedAtMs == m_description.startedAtMs && other.address == m_description.address;
    if (!isSameIncarnation)
        return;
    m_allowance.inherit(earlier.m_allowance);
}

bool BackendServer::recordPrefix(uint64_t affinity)
{
    if (!m_recentPrefixes)
        m_recentPrefixes = std::make_unique<RecentPrefixes>();
    return m_recentPrefixes->record(affinity);
}

void BackendServer::forgetPrefix(uint64_t affinity)
{
    if (m_recentPrefixes)
        m_recentPrefixes->forget(affinity);
}

void BackendServer::recordSuccess()
{
    m_consecutiveFailures = 0;
    m_ejectedUntil = {};
}

void BackendServer::recordUnreachable()
{
    m_pool.closeAll();
    m_consecutiveFailures = std::max(m_consecutiveFailures, failuresBeforeEjection - 1);
    recordFailure();
}

void BackendServer::recordFailure()
{
    ++m_consecutiveFailures;
    if (m_consecutiveFailures < failuresBeforeEjection)
        return;
    const int doublings = std::min(m_consecutiveFailures - failuresBeforeEjection, 3);
    m_ejectedUntil = m_clock.now() + std::min(longestEjection, shortestEjection * (1 << doublings));
}

}
