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

/** State and decisions of the engines whose home is this daemon: what runs and waits on each, and which are slow,
    unreachable or leaving. Not thread-safe: owned by the HomeActor.
    @see EngineAdmission, EngineEjector */
class EngineHome {
public:
    /** Replies to requests that waited in a queue. */
    using Replies = std::vector<std::pair<RequestId, AdmissionReply>>;

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

    /** Takes a new configuration or member list: adopts engines and gives up those whose home is another member.
        Returns refusals of requests that waited for an engine which has gone. */
    Replies update(const FleetView&);

    /** Notes that a chat whose first choice is at home here was served by another engine. */
    void recordPlacement(ChatKey, EngineHash servedAt, TimePoint now);

    /** Decides on a request; nothing means that it waits and a later call returns its reply. */
    std::optional<AdmissionReply> admit(const AdmissionQuery&, TimePoint now);

    Replies finish(const RunReport&, TimePoint now);

    /** Takes a waiting request out, because its caller went away. */
    Replies withdraw(const EngineId&, const RequestId&, TimePoint now);

    /** Notes the running number that came with an engine's answer. */
    void setReportedRunning(const EngineId&, int running, TimePoint now);

    Replies observe(const EngineObservation&, TimePoint now);

    /** Expires queues, marks stragglers and adjusts weights. Call it every 100 ms. */
    Replies tick(TimePoint now);

    /** Sets the mean load of a model's engines, running and queued, over the region. */
    void setMeanLoad(const ModelId&, double);

    /** Running and queued work and number of engines at home here, by model. */
    std::vector<ModelLoad> loads() const;

    /** Median times to first token of the engines at home here, for the other members. */
    LatencySummary latencies(TimePoint now);

    /** Takes the summaries of all members of the region, this one excluded. */
    void setPeerLatencies(std::vector<LatencySummary>, TimePoint now);

    std::vector<EngineStatus> status() const;

    /** Addresses of the engines at home here, for the monitor. */
    std::vector<std::pair<EngineId, std::string>> engines() const;

private:
    struct Engine {
        std::string address;
        std::vector<ModelId> models;
        std::unique_ptr<EngineAdmission> admission;
        std::map<RequestId, WorkClass> waiting;
        bool isReachable = true;
        bool isLeaving = false;
        std::optional<std::set<ModelId>> loadedModels; ///< Unknown until the first report.
        std::optional<TimePoint> observedAt; ///< Time of the last report; none yet after adoption.
        std::optional<TimePoint> lastDownAt; ///< Last time that the engine became unreachable or left.
        bool isFlapping = false;
        TimePoint unavailableUntil {}; ///< Cooldown after flapping.
        uint64_t lastPrefixSequence = 0; ///< Sequence of this engine in the prefix index.
        bool hasLoadReport = false; ///< Whether a load report came since the adoption.
    };

    std::optional<AdmissionReply> decide(const AdmissionQuery&, TimePoint now);
    void logDecision(const AdmissionQuery&, const std::optional<AdmissionReply>&) const;
    EngineHash preferredEngine(const AdmissionQuery&, bool holdsPrefix, TimePoint now);
    void recordPrefix(Engine&, const RunReport&);
    bool holdsPrefix(const EngineId&, ChatKey);
    bool canServe(const Engine&, const ModelId&, TimePoint now) const;
    void adopt(const EngineSettings&, const FleetConfiguration&);
    Replies processDequeued(const EngineId&, Engine&, DequeuedRequests);
    void redirectWaiting(Engine&, Replies&);

    const MemberId m_self;
    std::map<EngineId, Engine> m_engines;
    std::map<ModelId, double> m_meanLoads;
    EngineEjector m_ejector;
    WorkClassifier m_classifier;
    DisplacedChatTable m_displaced;
    PrefixIndex m_prefixes;
    double m_prefillSecondsPerToken; ///< Measured time to read a prompt token that is not cached.
    size_t m_fleetEngineCount = 0;
    TimePoint m_lastEvaluation {};
};

}
