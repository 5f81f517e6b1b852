#pragma once

#include "EngineHome.h"

#include <borageslip_core/borageslip_core.h>
#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <functional>
#include <memory>

namespace borageslip {

/** Requests admission. Reply: AdmissionReply, immediately or when the request leaves the queue. */
struct AdmitMessage {
    AdmissionQuery query;
};

/** Removes a request from the queue. */
struct WithdrawMessage {
    EngineId engine;
    RequestId request;
};

struct RunEndedMessage {
    RunReport report;
};

/** Reports to the home of a chat's first choice which engine served the chat. */
struct ChatPlacedMessage {
    ChatKey chat;
    EngineHash servedAt = 0;
};

struct RunningCountMessage {
    EngineId engine;
    int running = 0;
};

struct EngineObservedMessage {
    EngineObservation observation;
};

/** Carries a new configuration or member list. */
struct FleetChangedMessage {
    std::shared_ptr<const FleetView> fleet;
};

struct HomeTickMessage { };

/** Reply: HomeStatus. */
struct HomeStatusQuery { };

struct HomeStatus {
    std::vector<EngineHome::EngineStatus> engines;
    std::vector<ModelLoad> loads;
};

/** Callbacks through which the home exchanges loads and latencies with the other members by gossip. */
struct LoadExchange {
    std::function<void(std::span<const ModelLoad>)> publish;
    std::function<std::optional<double>(const ModelId&)> meanLoad;
    std::function<void(const LatencySummary&)> publishLatencies;
    std::function<std::vector<LatencySummary>()> peerLatencies; ///< Returns the summaries of the other members of the region.
};

/** Starts the actor that owns this daemon's EngineHome and calls its tick() every 100 ms. */
caf::actor spawnHomeActor(caf::actor_system&, const MemberId& self, const Clock&, LoadExchange);

/** Blocking calls to the home actor, for threads that serve requests. Thread-safe.
    @see spawnHomeActor */
class HomeClient {
public:
    HomeClient(caf::actor_system& system, caf::actor home)
        : m_system(system)
        , m_home(std::move(home))
    {
    }

    /** Waits until the request is admitted, redirected or rejected. Returns DeadlineBeforeStart if there is no decision within
        the timeout. */
    AdmissionReply admit(const AdmissionQuery&, std::chrono::milliseconds timeout) const;

    void finish(const RunReport&) const;
    void setReportedRunning(const EngineId&, int running) const;
    void recordPlacement(ChatKey, EngineHash servedAt) const;
    void observe(const EngineObservation&) const;
    void update(std::shared_ptr<const FleetView>) const;
    std::optional<HomeStatus> status() const;
    void stop() const;

private:
    caf::actor_system& m_system;
    const caf::actor m_home;
};

}

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(borageslip::AdmitMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(borageslip::WithdrawMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(borageslip::RunEndedMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(borageslip::ChatPlacedMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(borageslip::RunningCountMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(borageslip::EngineObservedMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(borageslip::FleetChangedMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(borageslip::HomeTickMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(borageslip::HomeStatusQuery)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(borageslip::HomeStatus)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(borageslip::AdmissionReply)
