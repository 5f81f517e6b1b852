#pragma once

#include <borageslip_core/time/Clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace borageslip {

/** Event on which one coroutine can wait, reset when the wait ends. A notification without a waiter is kept for the
    next wait. Call it from the event loop that owns it. */
class AutoResetEvent {
public:
    explicit AutoResetEvent(const boost::asio::any_io_executor&);

    void notify();

    /** Completes when notified. */
    boost::asio::awaitable<void> wait();

    /** Returns true if notified before the timeout. */
    boost::asio::awaitable<bool> waitFor(Duration);

private:
    boost::asio::steady_timer m_timer;
    bool m_isNotified = false;
};

}
