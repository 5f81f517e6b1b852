#pragma once

#include "../distribution/ConfigurationHolder.h"
#include "EngineOrder.h"
#include "OrderLease.h"

namespace borageslip {

/** Makes one engine carry what the configuration wants. Runs at the engine's home.

    An order is sent only after the lease, the lock of the engine's order key and the engine's state have been read in
    the same step, and not when that took longer than `maxCheckAge`; so a daemon that wakes from a pause sends nothing
    that it decided before. An engine that ignores fencing numbers gets no order until an earlier holder's lease and the
    longest pause have passed. Drops of one model are taken in turn across the fleet by a lock per model, so that two
    homes cannot take it below minimum_engines together. Not thread-safe: call from its owner.
    @see charts/order.json, decideOrder */
class EngineReconciler {
public:
    enum class OrderState {
        Done,
        Running,
    };

    /** Talks to the engine. Calls may block. */
    class Engine {
    public:
        virtual ~Engine() = default;
        virtual Result<EngineReport> readState(const EngineSettings&) = 0;
        /** Errors: LeaseLost when the engine knows a higher fencing number. */
        virtual Result<OrderState> send(const EngineSettings&, const EngineOrder&, uint64_t fencingNumber) = 0;
    };

    /** What the daemon knows of the fleet from reports and gossip. */
    class FleetView {
    public:
        virtual ~FleetView() = default;
        virtual std::optional<EngineReport> latestReport(const EngineId&) const = 0;
        /** Live engines that report the model, as recent as the daemon knows. */
        virtual std::vector<EngineId> enginesServing(const ModelId&) const = 0;
    };

    struct Settings {
        MemberId self;
        std::chrono::milliseconds maxProcessPause { 15000 };
        // Well under the lease, so that an order is on its way while the lease is certainly held.
        std::chrono::milliseconds maxCheckAge { 2000 };
        // Reports lag; an order's effect counts, and the next engine's turn comes, only after this time.
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

    /** Does the next piece of work. Returns the time to wait before the next call; at most a third of the lease while
        a lock is held. */
    std::chrono::milliseconds step();

    /** Name of the state in charts/order.json. */
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
    std::string m_safeSession; ///< Session under which sending is safe; empty for none.
    TimePoint m_waitUntil;
    std::optional<EngineOrder> m_order;
    TimePoint m_checkStartedAt;
    TimePoint m_orderSentAt;
    std::optional<ModelId> m_lockedModel;
    std::string m_modelLockSession;
    TimePoint m_modelLockUsableFrom;
};

}
