#pragma once

#include "../../platform/StatusServer.h"

#include <borageslip_traffic/net/SpawnTask.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <functional>
#include <string>
#include <vector>

namespace borageslip::platform {

/** Store of a test, on loopback, whose responses the test decides. Records the targets of all calls. */
class ScriptedStore {
public:
    /** @param target path and query of the call. */
    using Handler = std::function<StatusResponse(const std::string& target)>;

    ScriptedStore(boost::asio::io_context& context, Handler handler)
        : m_context(context)
        , m_acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_handler(std::move(handler))
    {
        spawnTask(context.get_executor(), "accept store calls", [this] { return acceptAll(); });
    }

    boost::asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

    /** Number of calls whose target contains a text. */
    size_t count(std::string_view text) const
    {
        return static_cast<size_t>(std::count_if(m_targets.begin(), m_targets.end(), [text](const std::string& target) { return target.find(text) != std::string::npos; }));
    }

    void forgetCalls() { m_targets.clear(); }

private:
    boost::asio::awaitable<void> acceptAll()
    {
        while (true) {
            boost::system::error_code failure;
            auto socket = co_await m_acceptor.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (failure)
                co_return;
            boost::asio::co_spawn(m_context, serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        while (true) {
            boost::system::error_code failure;
            http::request<http::string_body> request;
            co_await http::async_read(socket, buffer, request, boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (failure)
                co_return;
            m_targets.emplace_back(request.target().data(), request.target().size());
            const auto answer = m_handler(m_targets.back());
            http::response<http::string_body> response(static_cast<http::status>(answer.status), request.version(), answer.body);
            for (const auto& [name, text] : answer.fields)
                response.set(name, text);
            response.prepare_payload();
            co_await http::async_write(socket, response, boost::asio::redirect_error(boost::asio::use_awaitable, failure));
            if (failure)
                co_return;
        }
    }

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::vector<std::string> m_targets;
};

/** Runs the context until a condition holds. Returns whether it did within the limit. */
inline bool runUntil(boost::asio::io_context& context, std::chrono::milliseconds limit, const std::function<bool()>& condition)
{
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < until)
        context.run_for(std::chrono::milliseconds(5));
    return condition();
}

}
