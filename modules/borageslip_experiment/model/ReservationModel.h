#pragma once

#include "InstanceModel.h"

#include <borageslip_scheduling/placement/ReservationCoordinator.h>
#include <borageslip_scheduling/placement/ServerSlowness.h>

namespace borageslip {

/** Simulates the coordinators of the engines and what each instance knows of loads and speeds.

    A coordinator knows the exact usage of its engines. Its reply states that usage, which then takes precedence over
    reports for a short time. */
class ReservationModel {
public:
    using EngineUsage = InstanceModel::EngineUsage;

    ReservationModel(size_t instances, size_t engines);

    /** Adds to the exact usage of an engine. */
    void add(size_t engine, const EngineUsage& change);

    /** Requests at each engine. */
    std::vector<int> inFlight() const;

    /** Usage of an engine as an instance knows it. */
    EngineUsage known(const InstanceModel&, size_t instance, size_t engine) const;
    bool isOutdated(size_t instance, size_t engine, Duration now) const;

    /** Applies a report: the speeds that the sender knows from responses, and the usage of each engine unless its
        coordinator has stated it recently.
        @param others sums of the last reports of all other instances, by engine. */
    void applyReport(size_t from, size_t to, std::span<const EngineUsage> others, Duration now);

    /** Decides on a reservation and states the usage to the asking instance.
        @param instances all instances, of which the coordinator's own view gives the mean. */
    bool decide(std::span<const InstanceModel> instances, size_t asking, size_t engine, const ReservationLimits&, Duration now, TimePoint time);

    /** Records what a response states on the speed of its engine. */
    void recordSlowness(size_t instance, size_t engine, int percent, TimePoint now);

    double slowness(size_t instance, size_t engine, TimePoint now) const { return m_views[instance][engine].slowness.factor(now); }

private:
    struct View {
        EngineUsage others;
        Duration statedAt {};
        ServerSlowness slowness;
    };

    size_t coordinator(size_t engine) const { return m_coordinators[engine]; }

    std::vector<EngineUsage> m_totals;
    std::vector<size_t> m_coordinators;
    std::vector<std::vector<View>> m_views; ///< By instance and engine.
};

}
