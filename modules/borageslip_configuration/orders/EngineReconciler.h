#pragma once

#include "../distribution/ConfigurationHolder.h"
#include "EngineOrder.h"
#include "OrderLease.h"

namespace borageslip {

/** Sends orders to one engine until it has loaded the models that the configuration assigns to it. Runs in the daemon
    that is the engine's home.

    An order is sent only if the lease, the lock on the engine's order key and the engine's state were checked in the
    same step and the checks took at most `maxCheckAge`. A daemon that resumes after a pause therefore sends no order
    that it decided on before the pause. An engine that does not check fencing numbers gets no order until the previous
    holder's lease plus `maxProcessPause` has elapsed. A lock per model serialises the unloads and reloads of the model
    across the fleet, so that two homes cannot together take it below `minimum_engines`.
    Not thread-safe: call it only from the thread that owns it.
    @see charts/order.json, decideOrder */
class EngineReconciler {
public:
    enum class OrderState {
        Done,
        Running,
    };

    /** Connection to the engine. Calls may block. */
    class Engine {
    public:
        virtual ~Engine() = default;
        virtual Result<EngineReport> readState(const EngineSettings&) = 0;
        /** Errors: LeaseLost when the engine has already received a higher fencing number. */
        virtual Result<OrderState> send(const EngineSettings&, const EngineOrder&, uint64_t fencingNumber) = 0;
    };

    /** The state of the fleet as the daemon knows it from engine reports and gossip. */
    class FleetView {
    public:
        virtual ~FleetView() = default;
        virtual std::optional<EngineReport> latestReport(const EngineId&) const = 0;
        /** Returns the live engines whose latest known report names the model. */
        virtual std::vector<EngineId> enginesServing(const ModelId&) const = 0;
    };

    struct Settings {
        MemberId self;
        std::chrono::milliseconds maxProcessPause { 15000 };
        // Well below the lease time, so that the lease is certainly still held when an order is sent.
        std::chrono::milliseconds maxCheckAge { 2000 };
        // Engine reports lag behind. An order's effect counts, and the model lock is released, only after this time.
        std::chrono::milliseconds reportLag { 5000 };
        std::chrono::milliseconds orderTimeout { 300000 };
        std::chrono::milliseconds retryAfterFailure { 2000 };
    };

    struct Dependencies {
        const Clock& clock;
        KeyValueStore& store;
        OrderLease& lease;
        const ConfigurationHolder& configuration;
        const FleetView& fleet;
        Engine& engine;
    };

    EngineReconciler(Settings, EngineId, Dependencies);

    /** Executes the handler of the current state. Returns the time to wait before the next call, which is at most a
        third of the lease time while a lock is held. */
    std::chrono::milliseconds step();

    /** Name of the current state in charts/order.json. */
    const std::string& state() const { return m_chart.current(); }

private:
    using Handler = std::chrono::milliseconds (EngineReconciler::*)();

    std::chrono::milliseconds stepIdle();
    std::chrono::milliseconds stepAcquiring();
    std::chrono::milliseconds stepWaiting();
    std::chrono::milliseconds stepReading();
    std::chrono::milliseconds stepSending();
    std::chrono::milliseconds stepSettling();

    std::chrono::milliseconds fire(std::string_view event, std::chrono::milliseconds wait = std::chrono::milliseconds(0));
    std::chrono::milliseconds renewalInterval() const { return m_dependencies.lease.timeToLive() / 3; }
    std::chrono::milliseconds staleSendWindow() const { return m_dependencies.lease.timeToLive() + m_settings.maxProcessPause; }
    std::optional<EngineOrder> decide(const EngineReport&) const;
    const EngineSettings* engineSettings() const;
    bool readRecord();
    void updateLoadedVersions(const EngineReport&);
    Result<uint64_t> lockOrderKey();
    bool confirmLock();
    bool acquireModelLock(const ModelId&);
    void releaseModelLock();
    std::string holderName() const { return m_settings.self.text() + "/" + m_session; }

    const Settings m_settings;
    const EngineId m_engine;
    Dependencies m_dependencies;
    StateChartInstance m_chart;
    FleetConfiguration::Pointer m_configuration;
    bool m_isRecordRead = false;
    LoadedVersions m_loaded;
    std::string m_session;
    uint64_t m_fencingNumber = 0;
    std::string m_safeSession; ///< Session under which an earlier holder can no longer send; empty for none.
    TimePoint m_waitUntil;
    std::optional<EngineOrder> m_order;
    TimePoint m_checkStartedAt;
    TimePoint m_orderSentAt;
    std::optional<ModelId> m_lockedModel;
    std::string m_modelLockSession;
    TimePoint m_modelLockUsableFrom;
};

}
