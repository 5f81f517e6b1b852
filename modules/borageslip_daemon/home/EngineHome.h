#pragma once

#include "../entry/FleetView.h"
#include "Admission.h"
#include "LatencySummary.h"

#include <borageslip_configuration/borageslip_configuration.h>
#include <borageslip_membership/borageslip_membership.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace borageslip {

/** Decides on admission to the engines whose home is this daemon. Tracks the running and queued requests of each engine, and
    which engines are slow, unreachable or leaving. Not thread-safe: owned by the home actor.
    @see EngineAdmission, EngineEjector */
class EngineHome {
public:
    /** Replies to queued requests. */
    using Replies = std::vector<std::pair<RequestId, AdmissionReply>>;

    /** State of one engine for the status page and the metrics. */
    struct EngineStatus {
        EngineId engine;
        std::string address;
        int running = 0;
        size_t queued = 0;
        int capacity = 0;
        double weight = 1;
        bool isAvailable = false;
    };

    explicit EngineHome(MemberId self);
    EngineHome(const EngineHome&) = delete;
    EngineHome& operator=(const EngineHome&) = delete;

    /** Applies a new configuration or member list: adds the engines that now have their home here and removes those whose
        home is another member. Returns redirects for the requests queued at the removed engines. */
    Replies update(const FleetView&);

    /** Records that another engine served a chat whose first choice has its home here. */
    void recordPlacement(ChatKey, EngineHash servedAt, TimePoint now);

    /** Decides on a request. Without a value, the request is queued and a later call returns its reply. */
    std::optional<AdmissionReply> admit(const AdmissionQuery&, TimePoint now);

    /** Records the end of a run and returns the replies to queued requests that this allows. */
    Replies finish(const RunReport&, TimePoint now);

    /** Removes a queued request whose caller no longer waits. */
    Replies withdraw(const EngineId&, const RequestId&, TimePoint now);

    /** Records the number of running requests that an engine reported with a response. */
    void setReportedRunning(const EngineId&, int running, TimePoint now);

    /** Applies a load report or a failed read of the monitor. */
    Replies observe(const EngineObservation&, TimePoint now);

    /** Expires queues, marks stragglers and adjusts weights. Call it every 100 ms. */
    Replies tick(TimePoint now);

    /** Sets the mean number of running and queued requests per engine of a model, over the region. */
    void setMeanLoad(const ModelId&, double);

    /** Returns the running and queued requests and the number of engines whose home is here, by model. */
    std::vector<ModelLoad> loads() const;

    /** Returns the median times to first token of the engines whose home is here, for the other members. */
    LatencySummary latencies(TimePoint now);

    /** Applies the summaries of all other members of the region. */
    void setPeerLatencies(std::vector<LatencySummary>, TimePoint now);

    std::vector<EngineStatus> status() const;

    /** Returns the engines whose home is here, with their addresses. */
    std::vector<std::pair<EngineId, std::string>> engines() const;

private:
    struct Engine {
        std::string address;
        std::vector<ModelId> models;
        std::unique_ptr<EngineAdmission> admission;
        std::map<RequestId, WorkClass> waiting;
        bool isReachable = true;
        bool isLeaving = false;
        std::optional<std::set<ModelId>> loadedModels; ///< Without a value until the first load report.
        std::optional<TimePoint> observedAt; ///< Time of the last report; without a value until the first one.
        std::optional<TimePoint> lastDownAt; ///< Last time at which the engine became unreachable or started to leave.
        bool isFlapping = false;
        TimePoint unavailableUntil {}; ///< End of the cooldown after flapping.
        uint64_t lastPrefixSequence = 0; ///< Last sequence number of this engine in the prefix index.
        bool hasLoadReport = false; ///< Whether a load report has arrived since this daemon became the home.
    };

    std::optional<AdmissionReply> decide(const AdmissionQuery&, TimePoint now);
    void logDecision(const AdmissionQuery&, const std::optional<AdmissionReply>&) const;
    EngineHash preferredEngine(const AdmissionQuery&, bool holdsPrefix, TimePoint now);
    void recordPrefix(Engine&, const RunReport&);
    bool holdsPrefix(const EngineId&, ChatKey);
    bool canServe(const Engine&, const ModelId&, TimePoint now) const;
    void addEngine(const EngineSettings&, const FleetConfiguration&);
    Replies processDequeued(const EngineId&, Engine&, DequeuedRequests);
    void redirectWaiting(Engine&, Replies&);

    const MemberId m_self;
    std::map<EngineId, Engine> m_engines;
    std::map<ModelId, double> m_meanLoads;
    EngineEjector m_ejector;
    WorkClassifier m_classifier;
    DisplacedChatTable m_displaced;
    PrefixIndex m_prefixes;
    double m_prefillSecondsPerToken; ///< Moving average of the time to prefill a prompt token that is not cached.
    size_t m_fleetEngineCount = 0;
    TimePoint m_lastEvaluation {};
};

}
