#pragma once

#include "../home/HomeActor.h"

#include <atomic>
#include <condition_variable>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace borageslip {

/** Reads the load reports of the engines whose home is this daemon once a second and passes them to the home.

    Each engine has a keep-alive connection, because a new connection for each read used most of a daemon's idle processor
    time. Repeating a read is harmless, so a connection that the engine has closed only costs a retry. Thread-safe. */
class EngineMonitor {
public:
    EngineMonitor(const HomeClient&, const Clock&);
    ~EngineMonitor();
    EngineMonitor(const EngineMonitor&) = delete;
    EngineMonitor& operator=(const EngineMonitor&) = delete;

    void start();
    void stop();

    /** Sets the engines to monitor, with their addresses ("ip:port"). */
    void setTargets(const std::map<EngineId, std::string>&);

    /** Returns an estimate of the bytes sent and received since the start. */
    uint64_t bytesExchanged() const { return m_bytesExchanged; }

private:
    struct Target {
        std::string address;
        std::shared_ptr<httplib::Client> client;
        TimePoint nextRead {};
        bool isBeingRead = false;
    };
    using Targets = std::map<EngineId, Target>;

    void runWorker();
    Targets::iterator nextTarget();
    void readLoadReport(const EngineId&, httplib::Client&);

    const HomeClient& m_home;
    const Clock& m_clock;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopped = false;
    Targets m_targets;
    std::vector<std::thread> m_threads;
    std::atomic<uint64_t> m_bytesExchanged { 0 };
};

/** Parses an engine's load report. Errors: InvalidMessage. */
Result<EngineObservation> parseLoadReport(const EngineId&, std::string_view json);

}
