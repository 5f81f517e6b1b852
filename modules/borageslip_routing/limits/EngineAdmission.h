#pragma once

#include "FairQueue.h"
#include "LoadBound.h"
#include "WorkClass.h"

#include <array>
#include <borageslip_core/errors/Error.h>
#include <unordered_map>
#include <variant>
#include <vector>

namespace borageslip {

/** What an admission decision looks at. */
struct RequestView {
    const RequestId& id;
    const AccountId& account;
    WorkClass workClass = WorkClass::Standard;
    double cost = 1;
    TimePoint deadline {}; ///< By which the request has to start.
    /** Wait that is better than another engine, for example because this one caches the prefix. */
    Duration redirectThreshold {};
    bool isRedirectable = false; ///< Whether another engine of the model may still be tried.
};

/** The request may start now: call EngineAdmission::start before anything else. */
struct Admit { };

/** Another engine should be tried. */
struct Redirect { };

/** The request waits here; a later DequeuedRequests starts or refuses it. */
struct Queue {
    Duration expectedWait {};
};

/** The request was not run. */
struct Refuse {
    Error error;
};

using Decision = std::variant<Admit, Redirect, Queue, Refuse>;

/** Queued requests whose wait ended. */
struct DequeuedRequests {
    struct Started {
        QueuedRequest request;
        WorkClass workClass = WorkClass::Standard;
    };
    struct Refused {
        QueuedRequest request;
        Error error;
    };

    std::vector<Started> started {}; ///< Already counted as running.
    std::vector<Refused> refused {};
};

/** Admission to one engine, owned by the engine's home: bound I1, slot shares of the classes, and short fair queues.

    A part of the slots is closed to Long work, so that short work always finds slots that turn over quickly; Long work
    that waits is guaranteed a smaller part. With too few slots to reserve one, classes are instead guaranteed a part of
    the starts. Not thread-safe.
    @see LoadBound, FairQueue */
class EngineAdmission {
public:
    struct Settings {
        int slots = 1;
        LoadBound bound {};
        double reservedShortShare = 0.25;
        double guaranteedLongShare = 0.2;
        double guaranteedStandardStartShare = 0.3; ///< Of the starts, while Urgent work would take all of them.
        size_t maxQueued = 32; ///< Per class.
        size_t maxQueuedPerAccount = 16; ///< Per class.
        /** First estimates of how long a request holds its slot; measured values replace them. */
        std::array<Duration, workClassCount> expectedDuration { std::chrono::seconds(1), std::chrono::seconds(5), std::chrono::seconds(60) };
        Duration maxReportAge = std::chrono::seconds(2); ///< Longest age of a report of the engine's running requests.
        /** Time after which running Urgent and Standard work is treated as Long. */
        std::array<Duration, workClassCount> stragglerThreshold { std::chrono::seconds(10), std::chrono::seconds(30), Duration::max() };
    };

    explicit EngineAdmission(const Settings&);
    EngineAdmission(const EngineAdmission&) = delete;
    EngineAdmission& operator=(const EngineAdmission&) = delete;

    /** Decides on a new request. Queue means that it is in the queue; after Admit the caller must call start. */
    Decision decide(const RequestView&, TimePoint now);

    /** Counts an admitted request as running. */
    void start(const RequestId&, WorkClass, TimePoint now);

    /** Ends a running request, or takes a queued one out when its caller went away, and releases queued ones. */
    DequeuedRequests finish(const RequestId&, TimePoint now);

    /** Refuses queued requests that can no longer start in time and releases others. Call it a few times per second
        and after setMeanLoad and setReportedRunning. */
    DequeuedRequests expire(TimePoint now);

    /** Treats a running request as Long from now on. */
    void markLong(const RequestId&);

    /** Calls markLong for the requests that exceeded the time of their class. */
    void markStragglers(TimePoint now);

    /** Sets the mean load, running and queued, of the engines that carry the model in the region. Queued requests have to be
        part of it: otherwise the bound itself would hold the mean down when demand rises. */
    void setMeanLoad(double);

    /** Takes the number of requests that the engine says it runs. What exceeds this home's highest own count of the last
        maxReportAge, plus a margin for what the report cannot show yet, is counted as the work of other homes. The
        highest count, because a report still shows requests that have ended here since it was made. */
    void setReportedRunning(int reported, TimePoint now, int margin = 0);

    /** Stops admission, because the engine or this home is leaving. Queued requests are refused by the next expire. */
    void close() { m_isOpen = false; }

    int running() const { return static_cast<int>(m_running.size()) + m_runningForOtherHomes; }
    int running(WorkClass workClass) const { return m_runningByClass.at(indexOf(workClass)); }
    size_t queued(WorkClass workClass) const { return m_queues.at(indexOf(workClass)).size(); }
    size_t queued() const;

    /** Largest number of requests that may run now: the slots or bound I1, whichever is lower. */
    int capacity() const;

private:
    struct Running {
        WorkClass workClass;
        WorkClass admittedAs;
        TimePoint startedAt;
    };

    bool hasRoom(WorkClass) const;
    int longMaximum() const;
    int longReserve() const;
    std::optional<WorkClass> nextClass() const;
    void updateCredits(WorkClass);
    void updatePeak(TimePoint now);
    Duration expectedWait(WorkClass, size_t requestsAhead) const;
    void refuseLate(DequeuedRequests&, TimePoint now);
    void startQueued(DequeuedRequests&, TimePoint now);

    Settings m_settings;
    double m_meanLoad = 0;
    bool m_isOpen = true;
    int m_runningForOtherHomes = 0;
    int m_peak = 0; ///< Highest own count since m_peakSince.
    int m_previousPeak = 0; ///< Highest own count in the maxReportAge before m_peakSince.
    TimePoint m_peakSince {};
    std::unordered_map<RequestId, Running> m_running;
    std::array<int, workClassCount> m_runningByClass {};
    std::array<FairQueue, workClassCount> m_queues;
    std::array<double, workClassCount> m_credits {}; ///< Starts owed to a class that waits while others start.
    std::array<double, workClassCount> m_meanSeconds {};
    std::array<uint64_t, workClassCount> m_durationSamples {};
    std::vector<DequeuedRequests::Refused> m_displaced;
};

}
