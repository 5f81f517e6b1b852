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

/** A chat request to one engine. */
struct EngineRequest {
    std::string host;
    int port = 0;
    RequestId id;
    nlohmann::json body; ///< The caller's request; always sent as a streaming request.
    int priority = 0;
    uint64_t resumeOffset = 0; ///< Number of tokens that the caller already received from this run.
    TimePoint deadline = TimePoint::max();
    std::stop_token cancellation {}; ///< Cancels the run, even while the engine sends nothing.
};

/** The result and measurements of an attempt. */
struct AttemptResult {
    std::optional<Error> error {}; ///< Empty if the answer is complete.
    bool isCertainlyNotRun = false; ///< The connection failed, or the engine answered with X-Not-Run; never true once a byte may have reached an engine that did not refuse it.
    std::optional<int> engineStatus {}; ///< HTTP status of an engine that answered with an error.
    uint64_t deliveredTokens = 0; ///< Including those before resumeOffset.
    std::optional<Duration> timeToFirstToken {};
    std::vector<Duration> interTokenTimes {}; ///< Times between successive chunks that contain tokens.
    int resumes = 0;
    uint64_t droppedChunks = 0; ///< Chunks of other requests, or at unexpected offsets.

    bool isComplete() const { return !error; }
};

/** Runs one streaming attempt on an engine, and resumes it after a liveness timeout or a lost connection.

    Every connection is new: a kept-alive connection that the engine has closed would fail after bytes may have been sent.
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

        /** Called when the engine accepted the request. May be called again after a resume.
            @param runningCount value of X-Engine-Running, if the engine sent it. */
        virtual StreamFlow headersReceived(std::optional<int> runningCount) = 0;

        /** Called with the next chunk. Each token of the answer is passed exactly once and in order. */
        virtual StreamFlow chunkReceived(const StreamChunk&) = 0;

        /** Returns whether the engine should continue the run after this reader stops, because another reader may resume it. */
        virtual bool shouldContinueAfterStop() const { return false; }
    };

    /** @param clock must outlive the client. */
    EngineClient(const Clock& clock, Settings);

    /** Runs the attempt to its end. Errors in the result: EngineUnreachable, EngineRefused, EngineFailed, ConnectionSilent, InvalidMessage, Cancelled,
        DeadlineBeforeStart, DeadlineExceeded. A run that ends early is cancelled at the
        engine, unless Listener::shouldContinueAfterStop(). */
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
