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

/** Reads the load reports of the engines at home here once a second and tells the home what it saw.

    Each engine has a kept connection: a new one for each read was most of a daemon's idle processor time. Reading a
    report again is harmless, so a kept connection that the engine has closed costs nothing but a retry. Thread-safe. */
class EngineMonitor {
public:
    EngineMonitor(const HomeClient&, const Clock&);
    ~EngineMonitor();
    EngineMonitor(const EngineMonitor&) = delete;
    EngineMonitor& operator=(const EngineMonitor&) = delete;

    void start();
    void stop();

    /** Sets the engines to read, with their addresses ("ip:port"). */
    void setTargets(const std::map<EngineId, std::string>&);

    /** Estimate of the bytes sent and received since the start. */
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
    void read(const EngineId&, httplib::Client&);

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
