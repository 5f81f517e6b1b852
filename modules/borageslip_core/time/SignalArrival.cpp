#include "SignalArrival.h"

#include "BootClock.h"

#include <atomic>
#include <csignal>

namespace borageslip {

namespace {

    constexpr Duration::rep notArrived = 0;

    std::atomic<Duration::rep> s_arrival { notArrived };
    std::atomic<void (*)(int)> s_handler { nullptr };

    static_assert(std::atomic<Duration::rep>::is_always_lock_free && std::atomic<void (*)(int)>::is_always_lock_free);

    void recordAndHandle(int signal)
    {
        auto expected = notArrived;
        s_arrival.compare_exchange_strong(expected, BootClock().now().time_since_epoch().count());
        if (auto* handler = s_handler.load())
            handler(signal);
    }

}

void recordSignalArrival(int signal)
{
    struct sigaction action { };
    ::sigaction(signal, nullptr, &action);
    const bool hasHandler = (action.sa_flags & SA_SIGINFO) == 0 && action.sa_handler != SIG_DFL && action.sa_handler != SIG_IGN;
    if (hasHandler)
        s_handler = action.sa_handler;
    action.sa_flags &= ~SA_SIGINFO;
    action.sa_handler = recordAndHandle;
    ::sigaction(signal, &action, nullptr);
}

std::optional<TimePoint> signalArrival()
{
    const auto arrival = s_arrival.load();
    return arrival == notArrived ? std::nullopt : std::optional(TimePoint { Duration(arrival) });
}

}
