#pragma once

#include <borageslip_core/borageslip_core.h>
#include <borageslip_request/borageslip_request.h>
#include <memory>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace borageslip {

/** Outcome of one call as reported to the caller. */
struct CallOutcome {
    std::string_view kind; ///< "chat" or "service".
    std::string_view workClass; ///< "urgent", "standard", "long" or "none".
    std::optional<ErrorKind> failure;
};

/** Prometheus metrics of one daemon, listed in docs/METRICS.md. Thread-safe.

    No metric has an account, engine or chat label, so the number of time series does not grow with the fleet. */
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void callEnded(const CallOutcome&);
    void firstToken(Duration sinceReceived);
    void betweenTokens(Duration gap);
    void queueWait(Duration);
    void redirected(std::string_view reason);
    void retried(std::string_view reason);
    void attemptEnded(const AttemptResult&);
    void promptTokens(uint64_t prompt, uint64_t cached);
    void callsInProgress(int change);
    void setConfigurationRevision(uint64_t revision);
    void setMembers(std::string_view state, size_t count);
    void setControlBytes(std::string_view kind, std::string_view direction, uint64_t total);
    void setStoreCalls(std::string_view kind, uint64_t total);
    void setEngine(int running, size_t queued, size_t engines);
    void objective(std::string_view objective, uint64_t met, uint64_t missed);
    void setObjectiveTarget(std::string_view objective, double target);

    int inProgress() const;

    /** Returns the metrics in the Prometheus text format. */
    std::string text() const;

private:
    struct Families;

    std::shared_ptr<prometheus::Registry> m_registry;
    std::unique_ptr<Families> m_families;
};

}
