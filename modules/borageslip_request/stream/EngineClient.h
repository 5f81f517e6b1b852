#pragma once

#include "SseParser.h"
#include "StreamChunk.h"

#include <borageslip_core/identity/Identifier.h>
#include <borageslip_core/time/Clock.h>

#include <chrono>
#include <stop_token>
#include <string>
#include <vector>

namespace borageslip {

/** One chat request towards one engine. */
struct EngineRequest {
    std::string host;
    int port = 0;
    RequestId id;
    nlohmann::json body; ///< The caller's request; it is always run as a stream.
    int priority = 0;
    uint64_t resumeOffset = 0; ///< Tokens that the caller already holds from this run.
    TimePoint deadline = TimePoint::max();
    std::stop_token cancellation {}; ///< Cancels the run also while the engine is silent.
};

/** How an attempt ended. */
struct AttemptResult {
    std::optional<Error> error {}; ///< Nothing when the answer is complete.
    bool isCertainlyNotRun = false; ///< The connection failed, or the engine said X-Not-Run; never after a byte may have left.
    std::optional<int> engineStatus {}; ///< HTTP status of an engine that answered with an error.
    uint64_t deliveredTokens = 0; ///< Including those before resumeOffset.
    std::optional<Duration> timeToFirstToken {};
    std::vector<Duration> interTokenTimes {}; ///< Between the chunks that carried tokens.
    int resumes = 0;
    uint64_t droppedChunks = 0; ///< Of other requests, or at unexpected offsets.

    bool isComplete() const { return !error; }
};

/** Runs one streaming attempt against an engine, and resumes it after silence or a lost connection.

    Every connection is fresh: a kept-alive one that the engine has closed would fail after bytes may have left.
    Thread-safe; run() blocks its thread until the attempt ends. */
class EngineClient {
public:
    struct Settings {
        std::chrono::milliseconds connectTimeout { 500 };
        std::chrono::milliseconds livenessTimeout { 10000 };
        std::chrono::milliseconds cancelTimeout { 1000 };
        int maxResumes = 3;
        size_t maxEventBytes = 1024 * 1024;
    };

    /** Receives the stream. Called on the thread of run(). */
    class Listener {
    public:
        virtual ~Listener() = default;

        /** The engine accepted the request. May be called again after a resume.
            @param runningCount value of X-Engine-Running, if the engine sent it. */
        virtual StreamFlow headersReceived(std::optional<int> runningCount) = 0;

        /** The next chunk: each token of the answer arrives exactly once and in order. */
        virtual StreamFlow chunkReceived(const StreamChunk&) = 0;

        /** Whether a run that is given up here is left to the engine, because another reader may resume it. */
        virtual bool shouldContinueAfterStop() const { return false; }
    };

    /** @param clock must outlive the client. */
    EngineClient(const Clock& clock, Settings);

    /** Errors in the end: EngineUnreachable, EngineRefused, EngineFailed, ConnectionSilent, InvalidMessage, Cancelled,
        DeadlineBeforeStart, DeadlineExceeded. A run that is given up is cancelled at the engine,
        unless the listener leaves it there. */
    AttemptResult run(const EngineRequest&, Listener&) const;

    /** Sends `DELETE /v1/requests/<id>`. Errors: EngineUnreachable, EngineFailed. */
    Status cancel(const EngineRequest&) const;

private:
    class Run;

    const Clock* m_clock;
    const Settings m_settings;
};

using EngineStreamListener = EngineClient::Listener;

}
