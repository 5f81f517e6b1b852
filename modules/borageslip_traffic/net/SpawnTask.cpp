#include "SpawnTask.h"

#include <borageslip_core/logging/Log.h>
#include <borageslip_core/time/Clock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <memory>
#include <utility>

namespace borageslip {

namespace asio = boost::asio;

namespace {

    constexpr Duration restartDelay = std::chrono::milliseconds(100);

    void restartLater(const asio::any_io_executor& executor, std::string_view name, std::function<asio::awaitable<void>()> task)
    {
        auto timer = std::make_shared<asio::steady_timer>(executor);
        timer->expires_after(restartDelay);
        timer->async_wait([timer, executor, name, task = std::move(task)](boost::system::error_code failure) {
            if (!failure)
                spawnTask(executor, name, task);
        });
    }

}

void logUnexpected(std::string_view task, const std::exception_ptr& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& exception) {
        logEvent(Severity::Error, "unexpected-exception", { { "task", task }, { "detail", exception.what() } });
    } catch (...) {
        logEvent(Severity::Error, "unexpected-exception", { { "task", task }, { "detail", "unknown" } });
    }
}

void spawnTask(const asio::any_io_executor& executor, std::string_view name, std::function<asio::awaitable<void>()> task)
{
    // The copy in the completion handler keeps the function alive, to which the running coroutine may refer.
    const auto shared = std::make_shared<std::function<asio::awaitable<void>()>>(std::move(task));
    asio::co_spawn(executor, (*shared)(), [executor, name, shared](const std::exception_ptr& failure) {
        if (!failure)
            return;
        logUnexpected(name, failure);
        restartLater(executor, name, *shared);
    });
}

}
