#pragma once

#include "Clock.h"

namespace borageslip {

/** The operating system's clocks. */
class SystemClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    std::chrono::system_clock::time_point wallTime() const override { return std::chrono::system_clock::now(); }
};

}
