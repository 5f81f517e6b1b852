#include "CallerListener.h"

#include "../net/SpawnTask.h"

#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sstream>

namespace borageslip {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr int listenBacklog = 4096;
    constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50); ///< After a failure, such as too many file descriptors, or at the session limit.
    constexpr size_t rejectingSessionsDivisor = 8; ///< Of the session limit: sessions beyond it, whose requests are rejected.

}

Status openAcceptor(tcp::acceptor& acceptor, const tcp::endpoint& endpoint)
{
    boost::system::error_code failure;
    acceptor.open(endpoint.protocol(), failure);
    if (!failure)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(endpoint, failure);
    if (!failure)
        acceptor.listen(listenBacklog, failure);
    if (!failure)
        return ok();
    std::ostringstream address;
    address << endpoint;
    return Error { ErrorKind::InvalidSettings, "cannot listen on " + address.str() + ": " + failure.message() };
}

CallerListener::CallerListener(TrafficEngine& engine, size_t maxSessions)
    : m_engine(engine)
    , m_maxSessions(maxSessions)
    , m_acceptor(engine.executor())
{
}

Status CallerListener::listen(const tcp::endpoint& endpoint)
{
    if (auto opened = openAcceptor(m_acceptor, endpoint); !isOk(opened))
        return opened;
    spawnTask(m_engine.executor(), "accept callers", [this] { return acceptLoop(); });
    return ok();
}

asio::awaitable<void> CallerListener::acceptLoop()
{
    asio::steady_timer pause(m_engine.executor());
    while (m_acceptor.is_open()) {
        boost::system::error_code failure;
        tcp::socket socket(m_engine.executor());
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (!failure)
            startSession(std::move(socket));
        if (failure || sessionCount() >= m_maxSessions + m_maxSessions / rejectingSessionsDivisor) {
            logEvent(Severity::Warning, "accept-paused", { { "sessions", m_sessions.size() }, { "detail", failure.message() } });
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        }
    }
}

void CallerListener::startSession(tcp::socket socket)
{
    const bool isFull = sessionCount() >= m_maxSessions && !closeLongestWaiting();
    auto session = std::make_shared<CallerSession>(m_engine, std::move(socket));
    session->start();
    if (isFull)
        session->rejectRequests();
    if (m_isDraining)
        session->beginDrain();
    m_sessions.push_back(session);
}

bool CallerListener::closeLongestWaiting()
{
    std::shared_ptr<CallerSession> longest;
    for (const auto& entry : m_sessions) {
        auto session = entry.lock();
        if (session && session->waitingSince() && (!longest || *session->waitingSince() < *longest->waitingSince()))
            longest = std::move(session);
    }
    if (!longest)
        return false;
    longest->closeIfWaiting();
    return true;
}

void CallerListener::removeEndedSessions()
{
    std::erase_if(m_sessions, [](const auto& session) { return session.expired(); });
}

size_t CallerListener::sessionCount()
{
    removeEndedSessions();
    return m_sessions.size();
}

std::vector<OpenRequest> CallerListener::openRequests()
{
    std::vector<OpenRequest> requests;
    for (const auto& session : sessions()) {
        if (auto request = session->openRequest())
            requests.push_back(std::move(*request));
    }
    return requests;
}

bool CallerListener::isIdle()
{
    removeEndedSessions();
    return std::all_of(m_sessions.begin(), m_sessions.end(), [](const auto& session) { return session.lock()->isIdle(); });
}

void CallerListener::beginDrain()
{
    m_isDraining = true;
    for (const auto& session : sessions())
        session->beginDrain();
}

void CallerListener::close()
{
    if (!m_acceptor.is_open())
        return;
    acceptBacklog();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void CallerListener::acceptBacklog()
{
    boost::system::error_code failure;
    m_acceptor.non_blocking(true, failure);
    for (int accepted = 0; !failure && accepted < listenBacklog; ++accepted) {
        tcp::socket socket(m_engine.executor());
        m_acceptor.accept(socket, failure);
        if (!failure)
            startSession(std::move(socket));
    }
}

std::vector<std::shared_ptr<CallerSession>> CallerListener::sessions() const
{
    std::vector<std::shared_ptr<CallerSession>> alive;
    for (const auto& entry : m_sessions) {
        if (auto session = entry.lock())
            alive.push_back(std::move(session));
    }
    return alive;
}

void CallerListener::closeUnused()
{
    for (const auto& session : sessions())
        session->closeIfUnused();
}

void CallerListener::endForStop(StopScope scope)
{
    for (const auto& session : sessions())
        session->endForStop(scope);
}

void CallerListener::abortUnfinished()
{
    for (const auto& session : sessions())
        session->abortUnfinished();
}

}
