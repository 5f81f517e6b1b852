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

/** Properties of a request that an admission decision depends on. */
struct RequestView {
    const RequestId& id;
    const AccountId& account;
    WorkClass workClass = WorkClass::Standard;
    double cost = 1;
    TimePoint deadline {}; ///< Latest start of the request.
    /** Longest expected wait that is better than a redirect, for example because this engine caches the prefix. */
    Duration redirectThreshold {};
    bool isRedirectable = false; ///< Whether the request may still be redirected to another engine of the model.
};

/** The request may start now; the caller must call EngineAdmission::start before any other function. */
struct Admit { };

/** The caller should try another engine. */
struct Redirect { };

/** The request is queued; it is started or refused in a later DequeuedRequests. */
struct Queue {
    Duration expectedWait {};
};

/** The request is refused and was not run. */
struct Refuse {
    Error error;
};

using Decision = std::variant<Admit, Redirect, Queue, Refuse>;

/** Requests that left the queue, because they were started or refused. */
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

/** Admission control for one engine, owned by the engine's home. Enforces load bound I1, divides the slots between the
    work classes, and holds short fair queues.

    A share of the slots is closed to Long work, so that short work always finds slots that become free quickly; queued
    Long work is guaranteed a smaller share. With too few slots to reserve one, classes are guaranteed a share of the
    starts instead. Not thread-safe.
    @see LoadBound, FairQueue */
class EngineAdmission {
public:
    struct Settings {
        int slots = 1;
        LoadBound bound {};
        double reservedShortShare = 0.25;
        double guaranteedLongShare = 0.2;
        double guaranteedStandardStartShare = 0.3; ///< Share of the starts, while Urgent work would take all of them.
        size_t maxQueued = 32; ///< Per class.
        size_t maxQueuedPerAccount = 16; ///< Per class.
        /** Initial estimates of how long a request holds its slot; measured durations replace them. */
        std::array<Duration, workClassCount> expectedDuration { std::chrono::seconds(1), std::chrono::seconds(5), std::chrono::seconds(60) };
        Duration maxReportAge = std::chrono::seconds(2); ///< Largest age of an engine's report of its running requests.
        /** Running time after which Urgent and Standard requests are treated as Long. */
        std::array<Duration, workClassCount> stragglerThreshold { std::chrono::seconds(10), std::chrono::seconds(30), Duration::max() };
    };

    explicit EngineAdmission(const Settings&);
    EngineAdmission(const EngineAdmission&) = delete;
    EngineAdmission& operator=(const EngineAdmission&) = delete;

    /** Decides on a new request. With Queue, the request is in the queue already; after Admit, the caller must call
        start. */
    Decision decide(const RequestView&, TimePoint now);

    /** Counts an admitted request as running. */
    void start(const RequestId&, WorkClass, TimePoint now);

    /** Removes a running request, or a queued one whose caller disconnected, and starts queued requests that now have
        room. */
    DequeuedRequests finish(const RequestId&, TimePoint now);

    /** Refuses queued requests that can no longer start before their deadlines and starts those that have room. Call it
        a few times per second and after setMeanLoad and setReportedRunning. */
    DequeuedRequests expire(TimePoint now);

    /** Treats a running request as Long from now on. */
    void markLong(const RequestId&);

    /** Calls markLong for the running requests that exceeded the straggler threshold of their class. */
    void markStragglers(TimePoint now);

    /** Sets the mean number of running and queued requests of the engines that serve the model in the region. It has to
        include queued requests: otherwise the bound itself would keep the mean low when demand rises. */
    void setMeanLoad(double);

    /** Sets the number of running requests that the engine reported. The excess over this home's own count is
        attributed to other homes. The own count is the highest within the last maxReportAge, because a report still
        includes requests that have ended here since it was made.
        @param margin added to the excess, for requests that the report cannot include yet. */
    void setReportedRunning(int reported, TimePoint now, int margin = 0);

    /** Stops admission, because the engine or this home is leaving. The next call of expire refuses the queued
        requests. */
    void close() { m_isOpen = false; }

    int running() const { return static_cast<int>(m_running.size()) + m_runningForOtherHomes; }
    int running(WorkClass workClass) const { return m_runningByClass.at(indexOf(workClass)); }
    size_t queued(WorkClass workClass) const { return m_queues.at(indexOf(workClass)).size(); }
    size_t queued() const;

    /** Returns the largest number of requests that may run now: the slots or load bound I1, whichever is lower. */
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
    int m_peak = 0; ///< Highest number of this home's running requests since m_peakSince.
    int m_previousPeak = 0; ///< Highest number in the maxReportAge before m_peakSince.
    TimePoint m_peakSince {};
    std::unordered_map<RequestId, Running> m_running;
    std::array<int, workClassCount> m_runningByClass {};
    std::array<FairQueue, workClassCount> m_queues;
    std::array<double, workClassCount> m_credits {}; ///< Starts due to a queued class from its guaranteed share, while others start.
    std::array<double, workClassCount> m_meanSeconds {};
    std::array<uint64_t, workClassCount> m_durationSamples {};
    std::vector<DequeuedRequests::Refused> m_displaced;
};

}
