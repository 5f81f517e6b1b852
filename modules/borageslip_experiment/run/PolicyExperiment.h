#pragma once

#include "../model/EngineModel.h"
#include "../model/InstanceModel.h"
#include "../model/PlacementStrategy.h"
#include "../model/ReservationModel.h"
#include "ArrivalPlanner.h"
#include "ExperimentOutcome.h"
#include "LoadObserver.h"

#include <borageslip_scheduling/placement/PrefixFlights.h>
#include <borageslip_scheduling/placement/ReservationCoordinator.h>

#include <memory>
#include <queue>
#include <random>

namespace borageslip {

/** Discrete-event simulation of a load pattern with one placement strategy on modelled engines.

    The same pattern, strategy and seed give the same outcome. The requests and their arrival times depend on the pattern
    and the seed only, so that strategies are compared under the same load. */
class PolicyExperiment {
public:
    PolicyExperiment(const LoadPattern&, const PlacementStrategy&, uint64_t seed);

    ExperimentOutcome run();

private:
    enum class EventType {
        Call, ///< A request arrives, for the first time or as a retry by its caller.
        Leave, ///< A caller gives up, or the deadline of its request passes.
        Submit, ///< A request for which a reservation was requested reaches its engine.
        StepEnd, ///< An engine finishes a step.
        Report, ///< An instance reports its load to its peers.
        PrefixWaitEnd, ///< A request has waited for its prefix for as long as it may.
        QueueCheck, ///< An instance rejects requests that have waited too long and places queued ones on free slots.
        Sample, ///< The load of the engines is sampled.
        NeighbourStart, ///< A neighbour begins to slow an engine.
        NeighbourEnd,
        EventStart,
        EventEnd,
    };
    struct ScheduledEvent {
        Duration at {};
        uint64_t sequenceNumber = 0; ///< Orders events that are due at the same time.
        EventType type = EventType::Call;
        uint64_t subject = 0; ///< Index of the request, instance or pattern event; see startStep for StepEnd.

        bool operator>(const ScheduledEvent& other) const { return std::pair(at, sequenceNumber) > std::pair(other.at, other.sequenceNumber); }
    };
    struct EngineState {
        explicit EngineState(const EngineModelSettings& settings)
            : model(settings)
        {
        }

        EngineModel model;
        /** Time that work currently takes, as a multiple of the usual time. */
        double slowness() const { return speedFactor * neighbourFactor * eventFactor; }
        void applySlowness() { model.setStepTimeFactor(slowness()); }

        double speedFactor = 1;
        double neighbourFactor = 1;
        double eventFactor = 1;
        bool isBusy = false;
        bool isDown = false;
        bool isFailing = false;
        Duration downSince {};
        uint64_t crashCount = 0; ///< Identifies steps that started before a crash; their output is discarded.
        RecentPrefixes prefixes; ///< As its coordinator knows them.
        std::vector<StepOutput> output; ///< Of the current step, delivered when it ends.
    };

    void planArrivals();
    void planSpeeds();
    void schedule(Duration at, EventType, uint64_t subject);
    void dispatch(const ScheduledEvent&);

    void call(CallerRequest&);
    void leave(CallerRequest&);
    CallerRequest& requestOf(const QueuedRequest&);
    void enqueue(CallerRequest&);
    void checkQueue(size_t instance);
    void report(size_t instance);
    bool place(CallerRequest&);
    /** Whether the coordinators of the pattern grant requests; those of the strategy take precedence. */
    bool usesReservationModel() const { return m_pattern.coordinators.isEnabled && !m_strategy.hasCoordinators; }
    std::optional<size_t> choose(const CallerRequest&, std::span<const size_t> denied);
    std::optional<size_t> reserve(CallerRequest&);
    bool placeQueued(CallerRequest&);
    void sampleLoad();
    bool send(CallerRequest&, size_t engine);
    bool isGranted(const CallerRequest&, size_t engine);
    InstanceModel::EngineUsage totalUsage(size_t engine) const;
    void submit(CallerRequest&);
    bool awaitsPrefix(CallerRequest&);
    void endPrefixWait(CallerRequest&);
    void endPrefill(CallerRequest&, bool isFinished);
    PrefixAtServer prefixAt(const CallerRequest& request) const { return { InstanceModel::hashOf(request.engine), request.prefix }; }
    void afterFailure(CallerRequest&);
    void reject(CallerRequest&);
    void releaseEngine(CallerRequest&);
    void clearPendingPrefill(CallerRequest&);
    void end(CallerRequest&, int ClassOutcome::*);

    void startStep(size_t engine);
    void endStep(uint64_t subject);
    void deliver(const StepOutput&);
    void applyEvent(const PatternEvent&, bool isStart);
    void crash(size_t engine);
    bool isCounted(const CallerRequest& request) const { return request.firstArrival >= m_pattern.warmUp; }
    TimePoint timePoint(Duration at) const { return TimePoint() + std::chrono::hours(1) + at; }
    TimePoint now() const { return timePoint(m_now); }
    double draw() { return std::uniform_real_distribution<>(0, 1)(m_random); }

    const LoadPattern& m_pattern;
    const PlacementStrategy m_strategy;
    std::mt19937_64 m_random;
    Duration m_now {};
    uint64_t m_lastSequenceNumber = 0;
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> m_schedule;
    std::vector<std::unique_ptr<CallerRequest>> m_requests;
    std::vector<EngineState> m_engines;
    std::vector<InstanceModel> m_instances;
    ReservationModel m_reservations;
    LoadObserver m_observer;
    ArrivalPlanner m_planner;
    PrefixFlights m_prefixFlights;
    ExperimentOutcome m_outcome;
};

}
