#pragma once

#include "ArrivalPlan.h"
#include "ChatResponseReader.h"
#include "DirectoryClient.h"
#include "HistoryWriter.h"
#include "LoadResults.h"

#include <atomic>
#include <condition_variable>

namespace borageslip {

/** Sends the requests of a plan at their scheduled times, each on its own thread, and records their outcomes.

    A request that would exceed the limit of open requests is counted as failed and does not delay the others. */
class LoadRunner {
public:
    struct Limits {
        size_t maxOpen = 2000; ///< Largest number of requests open at the same time.
        std::chrono::seconds requestTimeout { 60 };
        std::chrono::milliseconds readTimeout { 20'000 }; ///< Longest wait for the next bytes of a response.
    };

    LoadRunner(const LoadMix&, Limits, DirectoryClient&, HistoryWriter&, LoadResults&, const Clock&);
    LoadRunner(const LoadRunner&) = delete;
    LoadRunner& operator=(const LoadRunner&) = delete;

    /** Sends all requests and blocks until the last has ended. */
    void run(std::span<const PlannedRequest>);

private:
    struct Job;

    static void* runJob(void* job);
    void start(const PlannedRequest&);
    void execute(const PlannedRequest&);
    void executeChat(const PlannedRequest&, TimePoint intendedStart);
    void executeService(const PlannedRequest&, TimePoint intendedStart);
    void callService(const PlannedRequest&, TimePoint intendedStart, const std::string& requestId, const std::string& key);
    httplib::Result send(httplib::Request&, const std::string& accountKey, std::string& entry, TimePoint deadline);
    void recordCompletion(const RequestOutcome&, nlohmann::json event);
    nlohmann::json eventFor(const PlannedRequest&, const std::string& requestId, std::string_view kind) const;
    RequestOutcome outcomeFor(const PlannedRequest&) const;
    double millisecondsSince(TimePoint) const;

    const LoadMix& m_mix;
    const Limits m_limits;
    DirectoryClient& m_directory;
    HistoryWriter& m_history;
    LoadResults& m_results;
    const Clock& m_clock;
    TimePoint m_startedAt;
    std::mutex m_mutex;
    std::condition_variable m_requestEnded;
    size_t m_openCount = 0;
};

}
