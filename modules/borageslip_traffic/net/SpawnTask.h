#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string_view>

namespace borageslip {

/** Runs a coroutine that serves the whole process, such as a loop that accepts connections.

    An unexpected exception does not end the process or the coroutine's work unnoticed: it is logged, and the coroutine
    begins anew after a pause. A coroutine that returns is not started again.
    @param name for the log; must outlive the task. */
void spawnTask(const boost::asio::any_io_executor&, std::string_view name, std::function<boost::asio::awaitable<void>()>);

/** Logs an exception that no caller expects. */
void logUnexpected(std::string_view task, const std::exception_ptr&);

}
