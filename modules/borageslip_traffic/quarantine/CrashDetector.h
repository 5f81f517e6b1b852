#pragma once

#include "../servers/BackendServer.h"
#include "PromptHealthListener.h"
#include "PromptQuarantine.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace borageslip {

/** Finds out whether a backend server that broke off a connection has crashed, and reports the requests that it was about
    to answer.

    A server whose address refuses a new connection has ended; one that accepts it, or from which nothing is heard, has
    not crashed as far as this instance knows: its connections were reset, or the network is cut. One check serves all
    requests that lost their connection to the same server. Not thread-safe: call it from the event loop that owns it. */
class CrashDetector {
public:
    CrashDetector(const Clock&, boost::asio::any_io_executor, PromptQuarantine&);

    /** Null for none. The listener must outlive all requests. */
    void setListener(PromptHealthListener* listener) { m_listener = listener; }

    /** Completes when it is known whether the server has crashed, after a short time at the latest.
        @param suspects fingerprints of a request whose response was not complete. */
    boost::asio::awaitable<bool> hasCrashed(BackendServerPtr, std::vector<PromptFingerprint> suspects);

    /** To be called when the server's entry shows that it has started again. If its connections were lost shortly before and
        it accepted the check, it has crashed all the same. */
    void serverRestarted(const BackendServer&);

    /** Sets what is called with a server that refuses connections after one to it was lost. */
    void setCrashHandler(std::function<void(const BackendServer&)> handler) { m_crashHandler = std::move(handler); }

    /** Crashes that this instance has observed and reported. */
    uint64_t crashCount() const { return m_crashCount; }

private:
    struct Check {
        explicit Check(const boost::asio::any_io_executor& executor)
            : ended(executor)
        {
        }

        std::vector<PromptFingerprint> suspects {};
        boost::asio::steady_timer ended; ///< Cancelled when the result is known.
        bool hasCrashed = false;
    };

    boost::asio::awaitable<void> check(BackendServerPtr, std::shared_ptr<Check>);
    void endCheck(const BackendServer&, Check&);
    void remember(const BackendServer&, Check&);
    void report(const BackendServer&, Check&);
    bool mayReport();

    const Clock& m_clock;
    boost::asio::any_io_executor m_executor;
    PromptQuarantine& m_quarantine;
    PromptHealthListener* m_listener = nullptr;
    std::function<void(const BackendServer&)> m_crashHandler;
    std::unordered_map<uint64_t, std::shared_ptr<Check>> m_checks; ///< By the server's hash.

    /** Suspects of a server that lost connections and was not seen to crash. */
    struct Unconfirmed {
        TimePoint at {};
        std::vector<PromptFingerprint> suspects {};
    };
    std::map<uint64_t, Unconfirmed> m_unconfirmed; ///< By the server's hash.
    TimePoint m_reportsCountedFrom {};
    int m_reportCount = 0; ///< Since m_reportsCountedFrom.
    uint64_t m_crashCount = 0;
};

}
