#pragma once

#include <array>
#include <borageslip_core/borageslip_core.h>
#include <borageslip_routing/borageslip_routing.h>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace borageslip {

/** Asks the home of an engine whether a request may start there. */
struct AdmissionQuery {
    RequestId request;
    AccountId account;
    ModelId model;
    EngineId engine;
    ChatKey chat;
    int priority = 5; ///< Lower is more urgent.
    int maxTokens = 0; ///< 0 when the caller set no maximum.
    int promptTokens = 0;
    int rank = 0; ///< Place of the engine in the chat's order of preference, for the log.
    bool isFirstChoice = false; ///< The home of the first choice knows where the chat was last served.
    EngineHash lastServed = 0; ///< Engine that the entry last saw serve the chat, when not its first choice; 0 for unknown.
    TimePoint deadline {}; ///< By which the request has to start.
    bool isRedirectable = false; ///< Whether the entry can still try another engine.
};

/** Name of a class in headers, logs and metrics. */
constexpr std::string_view workClassName(WorkClass workClass)
{
    constexpr std::array<std::string_view, workClassCount> names { "urgent", "standard", "long" };
    return names.at(indexOf(workClass));
}

/** The request is counted as running on the engine; RunReport must follow. */
struct Admitted {
    EngineId engine;
    std::string address; ///< "ip:port" of the engine.
    WorkClass workClass = WorkClass::Standard;
};

/** Another engine should be tried. */
struct Redirected {
    std::string reason;
    EngineHash preferred = 0; ///< Engine that most likely holds the chat's prefix; 0 for unknown.
    bool isBusy = false; ///< The engine could take the request later.
};

using AdmissionReply = std::variant<Admitted, Redirected, Error>;

/** What the home learns when a run ends. */
struct RunReport {
    RequestId request;
    EngineId engine;
    AccountId account;
    ChatKey chat;
    WorkClass workClass = WorkClass::Standard;
    int priority = 5;
    int maxTokens = 0;
    int promptTokens = 0;
    Duration runDuration {};
    std::optional<Duration> timeToFirstToken;
    AttemptOutcome::Kind outcome = AttemptOutcome::Kind::FirstToken;
    TimePoint startedAt {};
};

/** What the monitor saw of one engine. */
struct EngineObservation {
    EngineId engine;
    bool isReachable = false;
    bool isLeaving = false;
    int running = 0;
    std::vector<ModelId> loadedModels;
};

}
