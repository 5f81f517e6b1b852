#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace borageslip {

/** When a rejected caller is told to come back: spread evenly, so that those rejected together do not return together,
    and within the third of its time up to which callers honour it.
    @param timeLeft until the caller's time limit. */
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
