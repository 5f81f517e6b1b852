#pragma once

#include "ChatCall.h"
#include "HomeActor.h"

#include "../metrics/Metrics.h"

#include <borageslip_request/borageslip_request.h>

namespace borageslip {

/** Serves `/inner/chat` at the home of an engine: decides on admission, runs the request on the engine and sends the
    response as frames.

    run() blocks its thread until the response has ended. Thread-safe.
    @see ChatRouter, which calls it from the entry */
class HomeChatHandler {
public:
    HomeChatHandler(const Clock&, const HomeClient&, Metrics&);

    void run(InnerRequest, InnerResponder&, std::chrono::milliseconds livenessTimeout) const;

private:
    class FrameWriter;

    void report(const ChatCall&, const Admitted&, const AttemptResult&, TimePoint startedAt) const;

    const Clock& m_clock;
    const HomeClient& m_home;
    Metrics& m_metrics;
};

}
