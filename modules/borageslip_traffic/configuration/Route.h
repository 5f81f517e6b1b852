#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace borageslip {

/** Retry semantics of the requests of a route. */
enum class RequestKind {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Must not be sent again once it may have run.
    Stream, ///< Responds with server-sent events; runs at most once unless the route is resumable.
};

/** A service that receives a weighted share of the requests of a route. */
struct WeightedService {
    std::string service;
    uint32_t weight = 1;
};

/** Maps a host and path prefix to services, with the timeouts and retry rules of its requests. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Starts and ends with a slash.
    RequestKind kind = RequestKind::AtMostOnce;
    std::chrono::milliseconds timeout { 0 }; ///< Maximum time from the first byte of the request to the end of the response.
    std::chrono::milliseconds latencyObjective { 0 };
    std::chrono::milliseconds maxEventGap { 0 }; ///< Longest interval between events of a stream that counts as on time.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Maximum number of backend servers to which one request is sent.
    bool allowsAnonymous = false;
    bool reusesPrefixes = false; ///< Whether requests state their prompt parts and are routed by shared prefixes.
    bool isResumable = false; ///< Whether a broken stream may be resumed on another backend server.
    std::vector<WeightedService> services;

    /** Whether a request may be sent again after an attempt that may have run. */
    bool mayRunAgain() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && isResumable); }
};

}
