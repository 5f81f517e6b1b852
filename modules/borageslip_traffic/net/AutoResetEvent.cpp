#include "AutoResetEvent.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace borageslip {

namespace asio = boost::asio;

AutoResetEvent::AutoResetEvent(const asio::any_io_executor& executor)
    : m_timer(executor)
{
}

void AutoResetEvent::notify()
{
    m_isNotified = true;
    m_timer.cancel();
}

asio::awaitable<void> AutoResetEvent::wait()
{
    while (!m_isNotified) {
        m_timer.expires_at(asio::steady_timer::time_point::max());
        boost::system::error_code ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_isNotified = false;
}

asio::awaitable<bool> AutoResetEvent::waitFor(Duration limit)
{
    if (!m_isNotified) {
        m_timer.expires_after(limit);
        boost::system::error_code ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::exchange(m_isNotified, false);
}

}
