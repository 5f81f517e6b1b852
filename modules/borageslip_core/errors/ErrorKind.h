#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace borageslip {

/** The closed list of error kinds. Every failure that leaves a module is one of these.
    @see ErrorTraits, errorTraits */
enum class ErrorKind {
    MalformedRequest,
    RequestTooLarge,
    HeaderTooLarge,
    RequestTimeout,
    Unauthenticated,
    Forbidden,
    NotFound,
    UnknownModel,
    IdempotencyKeyMissing,
    IdempotencyKeyReused,
    RateLimited,
    Overloaded,
    NoEngineAvailable,
    NoConfiguration,
    Draining,
    DeadlineBeforeStart,
    DeadlineExceeded,
    PeerUnreachable,
    PeerConnectionLost,
    EngineUnreachable,
    EngineRefused,
    EngineFailed,
    PromptQuarantined,
    ServiceUnreachable,
    ServiceFailed,
    ConnectionSilent,
    Cancelled,
    OutcomeUnknown,
    StoreUnavailable,
    StoreOutcomeUnknown,
    RevisionConflict,
    LeaseLost,
    StalePlan,
    InvalidIntent,
    InvalidSettings,
    InvalidMessage,
    Internal,
};

/** Whether the request that failed can have been executed by a back end. */
enum class Execution {
    NotRun,
    MayHaveRun,
};

/** The answer that belongs to an error kind. */
struct ErrorTraits {
    ErrorKind kind;
    std::string_view name; ///< Value of "kind" in problem details, in kebab case.
    int httpStatus;
    Execution execution;
    bool isRetryable; ///< Whether an idempotent request may be tried again elsewhere.
    std::string_view title;
};

/** Returns the table row of a kind. Every kind has one. */
const ErrorTraits& errorTraits(ErrorKind);

/** Returns the whole table, in the order of the enumeration. */
std::span<const ErrorTraits> errorTable();

/** Returns the kind with this name, or nothing for an unknown name. */
std::optional<ErrorKind> errorKindFromName(std::string_view name);

}
