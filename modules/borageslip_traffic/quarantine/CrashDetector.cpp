#include "CrashDetector.h"

#include "../net/SpawnTask.h"

#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace borageslip {

namespace asio = boost::asio;

namespace {

    using std::chrono::milliseconds;

    constexpr Duration connectLimit = milliseconds(100); ///< Requests wait for the result before they are sent again.
    constexpr size_t maxSuspectsOfCrash = 256;
    constexpr size_t maxSuspectsOfNotice = 32; ///< Bounds the size of a datagram, as does the next.
    constexpr size_t maxPartsOfNotice = 512;
    constexpr size_t maxNoticesOfCrash = 8;
    constexpr Duration restartTime = std::chrono::seconds(5); ///< From a lost connection to the entry of the server's next start.
    constexpr size_t maxUnconfirmed = 64; ///< Servers.
    constexpr int maxReportsPerSecond = 20; ///< Crashes of which the other instances are notified.

    /** Divides the suspects of a crash into notices to the other instances; those beyond the limit are left out. The parts
        of a long prompt may be in several notices, which count as one crash since they arrive together. */
    std::vector<ServerCrash> noticesOf(const ServerCrash& crash)
    {
        std::vector<ServerCrash> notices;
        size_t partsLeft = 0;
        for (const auto& suspect : crash.suspects) {
            for (size_t first = 0; first < suspect.parts.size();) {
                const auto size = std::min(suspect.parts.size() - first, maxPartsOfNotice);
                if (notices.empty() || partsLeft < size || notices.back().suspects.size() >= maxSuspectsOfNotice) {
                    if (notices.size() >= maxNoticesOfCrash)
                        return notices;
                    notices.push_back({ crash.server, {} });
                    partsLeft = maxPartsOfNotice;
                }
                const auto begin = suspect.parts.begin() + static_cast<std::ptrdiff_t>(first);
                notices.back().suspects.push_back({ suspect.model, { begin, begin + static_cast<std::ptrdiff_t>(size) } });
                partsLeft -= size;
                first += size;
            }
        }
        return notices;
    }

}

CrashDetector::CrashDetector(const Clock& clock, asio::any_io_executor executor, PromptQuarantine& quarantine)
    : m_clock(clock)
    , m_executor(std::move(executor))
    , m_quarantine(quarantine)
{
}

asio::awaitable<bool> CrashDetector::hasCrashed(BackendServerPtr server, std::vector<PromptFingerprint> suspects)
{
    auto& running = m_checks[server->hash()];
    const bool isFirst = running == nullptr;
    if (isFirst)
        running = std::make_shared<Check>(m_executor);
    const auto own = running;
    if (own->suspects.size() < maxSuspectsOfCrash)
        std::move(suspects.begin(), suspects.end(), std::back_inserter(own->suspects));
    if (isFirst) {
        own->ended.expires_at(asio::steady_timer::time_point::max());
        asio::co_spawn(m_executor, check(server, own), [this, server, own](const std::exception_ptr& failure) {
            if (failure)
                logUnexpected("check a server", failure);
            endCheck(*server, *own);
        });
    }
    boost::system::error_code ignored;
    co_await own->ended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return own->hasCrashed;
}

asio::awaitable<void> CrashDetector::check(BackendServerPtr server, std::shared_ptr<Check> running)
{
    auto connection = std::make_shared<ServerConnection>(m_executor);
    const auto failure = co_await ConnectionPool::openSocket(connection, server->pool().endpoint(), connectLimit);
    running->hasCrashed = failure == asio::error::connection_refused;
    if (!running->hasCrashed)
        logEvent(Severity::Info, "crash-not-counted", { { "server", server->description().id }, { "suspects", running->suspects.size() }, { "reason", failure ? "no answer to a new connection" : "the server accepts connections" }, { "detail", failure.message() } });
}

void CrashDetector::endCheck(const BackendServer& server, Check& ended)
{
    m_checks.erase(server.hash());
    if (ended.hasCrashed && m_crashHandler)
        m_crashHandler(server);
    if (ended.hasCrashed)
        report(server, ended);
    else
        remember(server, ended);
    ended.ended.cancel();
}

void CrashDetector::remember(const BackendServer& server, Check& ended)
{
    const auto now = m_clock.now();
    std::erase_if(m_unconfirmed, [&](const auto& entry) { return now - entry.second.at >= restartTime; });
    if (m_unconfirmed.size() >= maxUnconfirmed && !m_unconfirmed.contains(server.hash()))
        return;
    auto& unconfirmed = m_unconfirmed[server.hash()];
    unconfirmed.at = now;
    if (unconfirmed.suspects.size() < maxSuspectsOfCrash)
        std::move(ended.suspects.begin(), ended.suspects.end(), std::back_inserter(unconfirmed.suspects));
}

void CrashDetector::serverRestarted(const BackendServer& server)
{
    const auto found = m_unconfirmed.find(server.hash());
    if (found == m_unconfirmed.end())
        return;
    const auto lost = m_unconfirmed.extract(found);
    if (m_clock.now() - lost.mapped().at >= restartTime)
        return;
    Check check(m_executor);
    check.suspects = std::move(lost.mapped().suspects);
    report(server, check);
}

bool CrashDetector::mayReport()
{
    const auto now = m_clock.now();
    if (now - m_reportsCountedFrom >= std::chrono::seconds(1)) {
        m_reportsCountedFrom = now;
        m_reportCount = 0;
    }
    return ++m_reportCount <= maxReportsPerSecond;
}

void CrashDetector::report(const BackendServer& server, Check& running)
{
    ++m_crashCount;
    ServerCrash crash { server.hash(), std::move(running.suspects) };
    // The stronger evidence comes first, in case not all of it can be sent.
    std::stable_partition(crash.suspects.begin(), crash.suspects.end(), [](const auto& suspect) { return !isInterruptedScope(suspect.model); });
    constexpr size_t maxLoggedParts = 32;
    auto suspects = nlohmann::json::array();
    for (const auto& suspect : crash.suspects) {
        if (!isInterruptedScope(suspect.model))
            suspects.push_back(suspect.parts.size() <= maxLoggedParts ? fingerprintJson(suspect) : nlohmann::json { { "model", suspect.model }, { "part_count", suspect.parts.size() } });
    }
    logEvent(Severity::Warning, "server-crashed", { { "server", server.description().id }, { "suspects", std::move(suspects) } });
    m_quarantine.recordCrash(crash);
    if (m_listener == nullptr || !mayReport())
        return;
    for (const auto& notice : noticesOf(crash))
        m_listener->serverCrashed(notice);
}

}
