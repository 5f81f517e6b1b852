#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace borageslip {

/** When a rejected caller is told to come back: spread evenly, so that those rejected together do not return together,
    and within the third of its time up to which callers honour it.
    @param timeLeft until the caller's time limit. */
template <typename Random>
std::chrono::milliseconds spreadReturnTime(std::chrono::milliseconds timeLeft, Random& random)
{
    constexpr std::chrono::milliseconds soonest { 150 };
    constexpr std::chrono::milliseconds latest { 1500 };
    const auto end = std::clamp(timeLeft / 3, std::chrono::milliseconds(0), latest);
    std::uniform_int_distribution<int64_t> spread(std::min(soonest, end).count(), end.count());
    return std::chrono::milliseconds(spread(random));
}

}
