#pragma once

#include <array>
#include <borageslip_core/borageslip_core.h>
#include <borageslip_routing/borageslip_routing.h>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace borageslip {

/** Request to the home of an engine for admission of a call to that engine. */
struct AdmissionQuery {
    RequestId request;
    AccountId account;
    ModelId model;
    EngineId engine;
    ChatKey chat;
    int priority = 5; ///< Lower is more urgent.
    int maxTokens = 0; ///< 0 if the caller set no maximum.
    int promptTokens = 0;
    int rank = 0; ///< Position of the engine in the entry's order of attempts, from 0; only for the log.
    bool isFirstChoice = false; ///< Whether the engine is the chat's first choice, whose home knows where the chat was last served.
    EngineHash lastServed = 0; ///< Engine that last served the chat through this entry, if not its first choice; 0 if unknown.
    TimePoint deadline {}; ///< Latest time at which the request may start.
    bool isRedirectable = false; ///< Whether the entry can still try another engine.
};

/** Returns the name of a work class in headers, logs and metrics. */
constexpr std::string_view workClassName(WorkClass workClass)
{
    constexpr std::array<std::string_view, workClassCount> names { "urgent", "standard", "long" };
    return names.at(indexOf(workClass));
}

/** Admission: the request is counted as running on the engine until a RunReport for it arrives. */
struct Admitted {
    EngineId engine;
    std::string address; ///< "ip:port" of the engine.
    WorkClass workClass = WorkClass::Standard;
};

/** Redirect: the entry should try another engine. */
struct Redirected {
    std::string reason;
    EngineHash preferred = 0; ///< Engine that most likely holds the chat's prefix; 0 if unknown.
    bool isBusy = false; ///< Whether the engine is at its load bound and could accept the request later.
};

using AdmissionReply = std::variant<Admitted, Redirected, Error>;

/** Report to the home about a run that has ended. */
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

/** State of one engine as read by the EngineMonitor. */
struct EngineObservation {
    EngineId engine;
    bool isReachable = false;
    bool isLeaving = false;
    int running = 0;
    std::vector<ModelId> loadedModels;
};

}
