#pragma once

#include "Clock.h"

#include <optional>

namespace borageslip {

/** Records when a signal first reached this process, also while the event loop is busy and handles it later.

    Call recordSignalArrival() once, after the handler of the signal has been installed; that handler is called on. */
void recordSignalArrival(int signal);

/** When the recorded signal first arrived, on the BootClock; absent if it has not. */
std::optional<TimePoint> signalArrival();

}
