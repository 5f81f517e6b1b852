#pragma once

#include "../entry/AccountLimits.h"
#include "../entry/ChatRouter.h"
#include "../metrics/ObjectiveMeter.h"
#include "../operators/TraceTable.h"
#include "CallContext.h"
#include "ChatRequest.h"

namespace borageslip {

/** Serves `POST /v1/chat/completions` and `GET /v1/models` to callers. Thread-safe. */
class ChatHandler {
public:
    ChatHandler(const Clock&, const CallGate&, const FleetViewHolder&, ChatRouter&, AccountLimits&, Metrics&, ObjectiveTracker&, TraceTable&, std::chrono::milliseconds requestDeadline);

    void registerRoutes(httplib::Server&);

private:
    class StreamWriter;
    class Call;

    void handleChat(const httplib::Request&, httplib::Response&);
    void handleModels(const httplib::Request&, httplib::Response&);
    Result<std::unique_ptr<RoutedChat>> open(const httplib::Request&, Call&, AdmissionQuery, const ChatRequest&);
    void sendFullResponse(const httplib::Request&, Call&, RoutedChat&, httplib::Response&);
    void sendStream(std::unique_ptr<Call>, std::shared_ptr<RoutedChat>, httplib::Response&);
    void fail(Call&, const Error&, httplib::Response&);

    const Clock& m_clock;
    const CallGate& m_gate;
    const FleetViewHolder& m_fleet;
    ChatRouter& m_router;
    AccountLimits& m_limits;
    Metrics& m_metrics;
    ObjectiveTracker& m_objectives;
    TraceTable& m_traces;
    const std::chrono::milliseconds m_requestDeadline;
};

}
