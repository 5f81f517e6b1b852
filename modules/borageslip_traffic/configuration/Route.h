#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace borageslip {

/** What may be done with a request of a route when an attempt at it fails. */
enum class RequestKind {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< Runs at most once for each request of a caller.
    Stream, ///< Answered by a series of events; runs at most once unless the route's streams may be resumed.
};

/** One of the services among which a route splits its requests. */
struct WeightedService {
    std::string service;
    uint32_t weight = 1;
};

/** Where the requests of one host and path prefix go, and how long and how often they may be tried. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RequestKind kind = RequestKind::AtMostOnce;
    std::chrono::milliseconds timeout { 0 }; ///< Longest time without a final answer.
    std::chrono::milliseconds latencyObjective { 0 };
    std::chrono::milliseconds maxEventGap { 0 }; ///< Longest pause between events of a stream that is still on time.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Largest number of backend servers to which one request is sent.
    bool allowsAnonymous = false;
    bool reusesPrefixes = false; ///< Whether its requests state the parts of their prompts.
    bool isResumable = false; ///< Whether a broken stream may go on at another backend server.
    std::vector<WeightedService> services;

    /** Whether a request may be sent once more after an attempt that may have run. */
    bool mayRunAgain() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && isResumable); }
};

}
