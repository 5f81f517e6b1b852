#pragma once

#include "LoadMix.h"

#include <chrono>
#include <cstdint>

namespace borageslip {

/** A request and its scheduled send time. */
struct PlannedRequest {
    std::chrono::microseconds at { 0 }; ///< Scheduled send time, relative to the start of the run.
    std::string id;
    size_t account = 0; ///< Index into LoadMix::accounts.
    size_t requestClass = 0; ///< Index into LoadMix::classes.
    std::string chat; ///< Identifies the conversation; all its turns share it.
    uint64_t promptTokens = 0;
    uint64_t maxTokens = 0;
    bool isRepeated = false; ///< The request is sent a second time with the same idempotency key.
};

/** Limits of a generated arrival plan. */
struct ArrivalLimits {
    std::chrono::microseconds duration { 60'000'000 };
    size_t maxRequests = 1'000'000;
    double rateFactor = 1; ///< Multiplies the arrival rate of the mix.
};

/** Generates the arrivals of a run, sorted by time.

    The load is open-loop: arrivals do not wait for responses, and the next turn of a chat is scheduled a random pause
    after the scheduled time of the previous turn. The same seed gives the same plan. */
std::vector<PlannedRequest> planArrivals(const LoadMix&, const ArrivalLimits&, uint64_t seed);

}
