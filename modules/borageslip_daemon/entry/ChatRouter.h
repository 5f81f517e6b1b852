#pragma once

#include "../home/ChatCall.h"
#include "../home/ChatFrames.h"
#include "../home/LoadGossip.h"
#include "../metrics/Metrics.h"
#include "CallFailures.h"
#include "FleetView.h"

#include <borageslip_inner/borageslip_inner.h>
#include <borageslip_request/borageslip_request.h>
#include <deque>
#include <memory>
#include <mutex>

namespace borageslip {

/** One admitted chat as the entry reads it. Used by one thread.

    Until the first chunk has been handed out, a failed attempt moves to the next engine. After that, a lost home is
    replaced by the engine's next home, from which the stream is resumed by offset.
    @see ChatRouter */
class RoutedChat {
public:
    virtual ~RoutedChat() = default;

    /** Waits for the next chunk; nothing is the clean end of the whole answer.
        Errors: ConnectionSilent with `isWaiting` set when nothing came within the time; the chat goes on. */
    struct Next {
        std::optional<std::string> chunk; ///< The engine's JSON.
        std::optional<Error> failure;
        bool isEnd = false; ///< The whole answer was handed out.
    };
    virtual Next next(std::chrono::milliseconds timeout) = 0;

    virtual const EngineId& engine() const = 0;

    /** Class that the home gave the request, as in workClassName. */
    virtual const std::string& workClass() const = 0;
};

/** Entry side of the chat path: ranks the engines, asks their homes in turn, and hands out the answer. Thread-safe.
    @see HomeChatHandler */
class ChatRouter {
public:
    ChatRouter(const Clock&, InnerClient&, FleetViewHolder&, const LoadGossip&, Metrics&);

    /** Waits until a home admits the call. The query's engine and isRedirectable are filled in here.
        Errors: those of the homes; NoEngineAvailable when all were tried. */
    Result<std::unique_ptr<RoutedChat>> open(ChatCall);

    struct Admission {
        std::unique_ptr<InnerStream> stream;
        EngineId engine;
        std::string workClass;
    };

    /** Engines to try in order. */
    struct Candidates {
        std::deque<EngineId> engines;
        EngineId firstChoice; ///< Empty for a request that was spread off a busy chat's first choice.
        EngineHash lastServed = 0;
    };

private:
    class Chat;

    /** How a home answered: an admission, or an error with the engine that it prefers. */
    struct HomeReply {
        Result<Admission> admission;
        EngineHash preferred = 0;
        bool isBusy = false;
    };

    Candidates candidates(const FleetView&, const ChatCall&);
    Result<Admission> admit(ChatCall&, Candidates&, CallFailures&);
    HomeReply requestAdmission(const FleetView&, const ChatCall&);
    static void report(const FleetView&, const ChatCall&, RouteStep::Kind, const Result<Admission>&);
    void notifyFirstChoice(const FleetView&, const ChatCall&, const Candidates&, const EngineId& servedAt);
    bool tryRetry(std::string_view reason);

    const Clock& m_clock;
    InnerClient& m_client;
    FleetViewHolder& m_fleet;
    const LoadGossip& m_loadGossip;
    Metrics& m_metrics;
    std::mutex m_mutex;
    DisplacedChatTable m_displaced;
    HotChatSpreader m_spreader;
    RetryBudget m_retryBudget;
    std::deque<std::unique_ptr<InnerStream>> m_pendingNotices; ///< Kept while they are sent: destroying a stream cancels it.
};

}
