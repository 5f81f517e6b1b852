#pragma once

#include <borageslip_core/time/Clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace borageslip {

/** Wakes the one coroutine that waits for something to change. A notification that comes while none waits is kept.
    Call it from the event loop that owns it. */
class AutoResetEvent {
public:
    explicit AutoResetEvent(const boost::asio::any_io_executor&);

    void notify();

    /** Returns when notified. */
    boost::asio::awaitable<void> wait();

    /** Whether it was notified before the time was over. */
    boost::asio::awaitable<bool> waitFor(Duration);

private:
    boost::asio::steady_timer m_timer;
    bool m_isNotified = false;
};

}
