#include "ReservationModel.h"

#include <borageslip_core/identity/Hash.h>

namespace borageslip {

namespace {

    constexpr Duration statedUsageLifetime = std::chrono::milliseconds(100); ///< As in BackendServer.

}

ReservationModel::ReservationModel(size_t instances, size_t engines)
    : m_totals(engines)
    , m_views(instances, std::vector<View>(engines))
{
    for (size_t i = 0; i < engines; ++i)
        m_coordinators.push_back(hashPair(InstanceModel::hashOf(i), 1) % instances);
}

void ReservationModel::add(size_t engine, const EngineUsage& change)
{
    m_totals[engine].inFlight += change.inFlight;
    m_totals[engine].pendingPrefill += change.pendingPrefill;
}

std::vector<int> ReservationModel::inFlight() const
{
    std::vector<int> requests;
    requests.reserve(m_totals.size());
    for (const auto& total : m_totals)
        requests.push_back(total.inFlight);
    return requests;
}

ReservationModel::EngineUsage ReservationModel::known(const InstanceModel& model, size_t instance, size_t engine) const
{
    if (coordinator(engine) == instance)
        return m_totals[engine];
    const auto& own = model.ownUsage()[engine];
    const auto& others = m_views[instance][engine].others;
    return { own.inFlight + others.inFlight, own.pendingPrefill + others.pendingPrefill };
}

bool ReservationModel::isOutdated(size_t instance, size_t engine, Duration now) const
{
    const auto statedAt = m_views[instance][engine].statedAt;
    return statedAt == Duration::zero() || now - statedAt >= statedUsageLifetime;
}

void ReservationModel::applyReport(size_t from, size_t to, std::span<const EngineUsage> others, Duration now)
{
    for (size_t engine = 0; engine < m_totals.size(); ++engine) {
        if (isOutdated(to, engine, now))
            m_views[to][engine].others = others[engine];
        m_views[to][engine].slowness.recordShared(m_views[from][engine].slowness.lastOwn());
    }
}

bool ReservationModel::decide(std::span<const InstanceModel> instances, size_t asking, size_t engine, const ReservationLimits& limits, Duration now, TimePoint time)
{
    const auto by = coordinator(engine);
    const auto& exact = m_totals[engine];
    double mean = 0;
    std::vector<double> factors;
    for (size_t i = 0; i < m_totals.size(); ++i) {
        mean += static_cast<double>(known(instances[by], by, i).inFlight) / static_cast<double>(m_totals.size());
        factors.push_back(slowness(by, i, time));
    }
    const ServerUsage usage { InstanceModel::hashOf(engine), static_cast<uint32_t>(exact.inFlight), static_cast<uint64_t>(std::max<int64_t>(0, exact.pendingPrefill)) };
    const bool isGranted = canGrantReservation({ usage, mean, capacityShares(factors)[engine] }, limits, ServerChoiceLimits().capFactor);
    if (by == asking)
        return isGranted;
    auto& view = m_views[asking][engine];
    const auto& own = instances[asking].ownUsage()[engine];
    view.others = { exact.inFlight - own.inFlight, exact.pendingPrefill - own.pendingPrefill };
    view.statedAt = now;
    return isGranted;
}

void ReservationModel::recordSlowness(size_t instance, size_t engine, int percent, TimePoint now)
{
    m_views[instance][engine].slowness.recordOwn({ percent, now });
}

}
