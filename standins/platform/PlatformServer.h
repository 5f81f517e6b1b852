#pragma once

#include "HealthList.h"
#include "PlatformStore.h"

#include <borageslip_core/borageslip_core.h>
#include <map>
#include <random>

namespace borageslip::standin {

/** Serves a Consul-compatible HTTP interface and the weight store, with rate limits, fault injection and call counts.

    The interface is the one in docs/PROTOCOLS.md "Platform store". */
class PlatformServer {
public:
    struct Settings {
        double writesPerSecond = 400;
        double readsPerSecond = 2000;
        double weightsPerSecond = 5;
        size_t weightBytes = 1 << 20;
        std::chrono::milliseconds healthLag { 0 };
    };

    PlatformServer(Settings, httplib::Server&);
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

private:
    using Handler = void (PlatformServer::*)(const httplib::Request&, httplib::Response&);

    enum class CallKind {
        Read,
        Write,
        Weights,
    };

    enum class Outage {
        None,
        Error,
        Drop,
        Silent,
    };

    struct Faults {
        Outage outage = Outage::None;
        std::chrono::milliseconds slow { 0 };
        double dropResponseProbability = 0;
    };

    struct Bucket {
        double rate;
        double tokens;
        std::chrono::steady_clock::time_point lastRefill;

        bool tryAcquire(std::chrono::steady_clock::time_point now);
    };

    struct SecondCounts {
        uint64_t reads = 0;
        uint64_t writes = 0;
    };

    /** Wraps a handler with the active faults, the rate limit and the call count.

        @param name name under which calls are counted; if empty, it is derived from the request. */
    httplib::Server::Handler withFaults(CallKind, std::string name, Handler);

    /** Counts a call and applies the rate limit. Returns false after setting a 429 response. */
    bool admit(CallKind, const std::string& name, httplib::Response&);
    bool shouldDropResponse();
    Faults faults() const;
    void count(const std::string& name);

    void readKey(const httplib::Request&, httplib::Response&);
    void writeKey(const httplib::Request&, httplib::Response&);
    void removeKey(const httplib::Request&, httplib::Response&);
    void createSession(const httplib::Request&, httplib::Response&);
    void renewSession(const httplib::Request&, httplib::Response&);
    void destroySession(const httplib::Request&, httplib::Response&);
    void readHealth(const httplib::Request&, httplib::Response&);
    void readWeights(const httplib::Request&, httplib::Response&);
    void registerInstances(const httplib::Request&, httplib::Response&);
    nlohmann::json control(const nlohmann::json& changes);
    nlohmann::json records() const;
    void clearRecords();

    const Settings m_settings;
    PlatformStore m_store;
    HealthList m_health;
    mutable std::mutex m_mutex;
    Faults m_faults;
    std::mt19937_64 m_random { 1 };
    std::map<CallKind, Bucket> m_buckets;
    std::map<std::string, uint64_t> m_counts;
    std::map<int64_t, SecondCounts> m_perSecond;
};

}
