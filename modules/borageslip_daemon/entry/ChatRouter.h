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

/** An admitted chat whose response the entry reads. Use it on one thread only.

    Until the first chunk has been returned, a failed attempt is retried on the next engine. After that, if the connection
    to the home fails, the stream is resumed by token offset through the engine's next home.
    @see ChatRouter */
class RoutedChat {
public:
    virtual ~RoutedChat() = default;

    /** Result of next(): a chunk, a failure, or neither. While isEnd is false, the chat goes on even if a failure is set. */
    struct Next {
        std::optional<std::string> chunk; ///< JSON of the engine's chunk.
        std::optional<Error> failure;
        bool isEnd = false; ///< No more chunks follow; without a failure, the response is complete.
    };

    /** Waits for the next chunk. Failure ConnectionSilent without isEnd: nothing arrived within the timeout. */
    virtual Next next(std::chrono::milliseconds timeout) = 0;

    virtual const EngineId& engine() const = 0;

    /** Returns the work class that the home assigned to the request, named as in workClassName(). */
    virtual const std::string& workClass() const = 0;
};

/** Entry side of the chat path: ranks the engines, requests admission from their homes in turn, and returns the response
    stream. Thread-safe.
    @see HomeChatHandler */
class ChatRouter {
public:
    ChatRouter(const Clock&, InnerClient&, FleetViewHolder&, const LoadGossip&, Metrics&);

    /** Waits until a home admits the call. The router sets the query's engine, rank, isFirstChoice, lastServed and
        isRedirectable. Errors: those of the homes; NoEngineAvailable after all engines were tried. */
    Result<std::unique_ptr<RoutedChat>> open(ChatCall);

    /** An admitted request and its response stream. */
    struct Admission {
        std::unique_ptr<InnerStream> stream;
        EngineId engine;
        std::string workClass;
    };

    /** Engines to try, in order of preference. */
    struct Candidates {
        std::deque<EngineId> engines;
        EngineId firstChoice; ///< Empty when load spreading moved the request of a busy chat off its first choice.
        EngineHash lastServed = 0; ///< Engine that last served the chat instead of the first choice; 0 if unknown.
    };

private:
    class Chat;

    /** Reply of a home: an admission, or an error with the engine that the home prefers (0 for none). */
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
    std::deque<std::unique_ptr<InnerStream>> m_pendingNotices; ///< Kept until sent, because destroying a stream cancels it.
};

}
