#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace borageslip {

/** Delay after which a rejected caller should retry. Uniformly random between once and twice the expected wait, so that
    callers rejected at the same time do not retry at the same time, and at most a third of the remaining time, because
    callers ignore longer delays.
    @param timeLeft time until the request's deadline.
    @param expectedWait time until there is capacity; zero when not known. */
template <typename Random>
std::chrono::milliseconds jitteredRetryAfter(std::chrono::milliseconds timeLeft, Random& random, std::chrono::milliseconds expectedWait = {})
{
    using std::chrono::milliseconds;
    constexpr milliseconds minDelay { 150 };
    constexpr milliseconds maxDelay { 1500 };
    const bool isKnown = expectedWait > milliseconds(0);
    const auto latest = std::clamp(timeLeft / 3, milliseconds(0), isKnown ? std::max(minDelay, 2 * expectedWait) : maxDelay);
    const auto earliest = std::min(isKnown ? std::max(minDelay / 2, expectedWait) : minDelay, latest);
    std::uniform_int_distribution<int64_t> distribution(earliest.count(), latest.count());
    return milliseconds(distribution(random));
}

}
