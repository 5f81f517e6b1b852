#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace borageslip {

/** Delay after which a rejected caller should retry. Uniformly random, so that callers rejected at the same time do not
    retry at the same time, and at most a third of the remaining time, because callers ignore longer delays.
    @param timeLeft time until the request's deadline. */
template <typename Random>
std::chrono::milliseconds jitteredRetryAfter(std::chrono::milliseconds timeLeft, Random& random)
{
    constexpr std::chrono::milliseconds minDelay { 150 };
    constexpr std::chrono::milliseconds maxDelay { 1500 };
    const auto upper = std::clamp(timeLeft / 3, std::chrono::milliseconds(0), maxDelay);
    std::uniform_int_distribution<int64_t> distribution(std::min(minDelay, upper).count(), upper.count());
    return std::chrono::milliseconds(distribution(random));
}

}
