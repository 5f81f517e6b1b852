#pragma once

#include "entry/AccountLimits.h"
#include "entry/ChatRouter.h"
#include "front/ChatHandler.h"
#include "front/DirectoryHandler.h"
#include "front/ServiceHandler.h"
#include "home/HomeActor.h"
#include "home/HomeChatHandler.h"
#include "lifecycle/Lifecycle.h"
#include "monitor/EngineMonitor.h"
#include "operators/OperatorHandler.h"
#include "settings/DaemonSettings.h"

#include <atomic>
#include <borageslip_platform/borageslip_platform.h>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace borageslip {

/** Router daemon: creates its components from the settings, runs them, and stops them without aborting calls.

    @see Lifecycle, charts/daemon.json */
class Daemon final : private CallGate, private ConfigurationWatcher::Peers {
public:
    Daemon(DaemonSettings, const Clock&);
    ~Daemon() override;
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /** Opens the listeners and joins the fleet. Errors: InvalidSettings if an address cannot be used. */
    Status start();

    /** Begins a planned stop. May be called repeatedly and from any thread. */
    void beginStop();

    /** Runs the main loop until a planned stop has completed. */
    void run();

private:
    std::optional<Error> refusal() const override;
    Result<ConfigurationWatcher::FetchedDocument> fetchFromPeer(const MemberId&, const AppliedConfiguration* held) override;
    Result<ConfigurationResponse> requestConfiguration(const Member&, uint64_t heldRevision);

    Member selfMember() const;
    void startHome();
    std::vector<LatencySummary> peerLatencies() const;
    Status startListeners();
    void handleInner(InnerRequest, std::shared_ptr<InnerResponder>);
    void dispatchInner(InnerRequest, InnerResponder&);
    void serveChat(InnerRequest, InnerResponder&);
    void serveService(const InnerRequest&, InnerResponder&);
    void servePlaced(const InnerRequest&, InnerResponder&);
    void serveConfiguration(const InnerRequest&, InnerResponder&);
    void serveUsage(const InnerRequest&, InnerResponder&);
    void serveOutcomes(const InnerRequest&, InnerResponder&);

    std::optional<std::string> resolveIncarnation(std::string_view incarnation) const;
    void runBackgroundTasks(const std::stop_token&);
    void refreshFleet();
    std::map<EngineId, std::string> enginesAtHome(const FleetView&) const;
    void becomeReadyWhenPossible();
    void applyObjectives(const FleetConfiguration&);
    void reportUsage();
    void refreshMetrics();
    void transferOutcomes();
    void updateSeeds();
    nlohmann::json status() const;

    const DaemonSettings m_settings;
    const Clock& m_clock;
    const uint64_t m_startIncarnation;
    const MemberId m_id;
    const std::string m_incarnation;

    Metrics m_metrics;
    ObjectiveTracker m_objectives;
    TraceTable m_traces;
    Lifecycle m_lifecycle;
    FleetViewHolder m_fleet;
    AccountLimits m_limits;

    CallBudget m_callBudget;
    ConsulStore m_store;
    InstanceList m_instances;
    ConfigurationHolder m_configuration;
    ConfigurationDifferences m_differences;
    ConfigurationWatcher m_watcher;

    ControlBudget m_controlBudget;
    std::unique_ptr<MembershipService> m_membership;
    const LoadGossip m_loadGossip;

    caf::actor_system_config m_actorSettings;
    std::unique_ptr<caf::actor_system> m_actors;
    std::unique_ptr<HomeClient> m_home;
    std::unique_ptr<EngineMonitor> m_monitor;

    TicketIssuer m_tickets;
    OutcomeTable m_outcomes;
    ClaimCoordinator m_claims;
    AtMostOnceExecutor m_executor;

    InnerClient m_innerClient;
    ChatRouter m_router;
    std::unique_ptr<HomeChatHandler> m_homeChat;
    ChatHandler m_chats;
    ServiceClient m_serviceClient;
    ServiceHandler m_services;
    DirectoryHandler m_directory;
    OperatorHandler m_operators;

    BoundedTaskQueue m_homeWorkers;
    InnerServer m_innerServer;
    HttpListener m_callerListener;
    HttpListener m_operatorListener;

    uint64_t m_appliedRevision = 0;
    std::shared_ptr<const std::vector<Member>> m_appliedMembers;
    TimePoint m_startedAt;
    TimePoint m_nextMetricsRefresh {};
    TimePoint m_nextSeeding {};

    std::atomic<int> m_innerInProgress { 0 };
    std::jthread m_backgroundThread;
    std::mutex m_wakeMutex;
    std::condition_variable m_wake;
};

}
