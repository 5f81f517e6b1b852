#include "ErrorKind.h"

#include <array>

namespace borageslip {

namespace {

    using enum Execution;

    constexpr std::array errorRows {
        ErrorTraits { ErrorKind::MalformedRequest, "malformed-request", 400, NotRun, false, "The request is malformed" },
        ErrorTraits { ErrorKind::RequestTooLarge, "request-too-large", 413, NotRun, false, "The request is too large" },
        ErrorTraits { ErrorKind::HeaderTooLarge, "header-too-large", 431, NotRun, false, "The header is too large" },
        ErrorTraits { ErrorKind::RequestTimeout, "request-timeout", 408, NotRun, false, "The request did not arrive in time" },
        ErrorTraits { ErrorKind::Unauthenticated, "unauthenticated", 401, NotRun, false, "The key is missing or unknown" },
        ErrorTraits { ErrorKind::Forbidden, "forbidden", 403, NotRun, false, "The client account may not do this" },
        ErrorTraits { ErrorKind::NotFound, "not-found", 404, NotRun, false, "No such resource" },
        ErrorTraits { ErrorKind::UnknownModel, "unknown-model", 404, NotRun, false, "No such model" },
        ErrorTraits { ErrorKind::IdempotencyKeyMissing, "idempotency-key-missing", 400, NotRun, false, "The call needs an Idempotency-Key" },
        ErrorTraits { ErrorKind::IdempotencyKeyReused, "idempotency-key-reused", 422, NotRun, false, "The Idempotency-Key was used for another request" },
        ErrorTraits { ErrorKind::RateLimited, "rate-limited", 429, NotRun, false, "The client account is over its rate limit" },
        ErrorTraits { ErrorKind::Overloaded, "overloaded", 503, NotRun, true, "No capacity within the deadline" },
        ErrorTraits { ErrorKind::NoEngineAvailable, "no-engine-available", 503, NotRun, true, "No engine can take the request" },
        ErrorTraits { ErrorKind::NoConfiguration, "no-configuration", 503, NotRun, true, "No configuration is in force here" },
        ErrorTraits { ErrorKind::Draining, "draining", 503, NotRun, true, "The instance is leaving" },
        ErrorTraits { ErrorKind::DeadlineBeforeStart, "deadline-before-start", 504, NotRun, false, "The deadline passed before the request was sent" },
        ErrorTraits { ErrorKind::DeadlineExceeded, "deadline-exceeded", 504, MayHaveRun, false, "The deadline passed" },
        ErrorTraits { ErrorKind::PeerUnreachable, "peer-unreachable", 503, NotRun, true, "The responsible instance cannot be reached" },
        ErrorTraits { ErrorKind::PeerConnectionLost, "peer-connection-lost", 502, MayHaveRun, true, "The connection to the responsible instance was lost" },
        ErrorTraits { ErrorKind::EngineUnreachable, "engine-unreachable", 503, NotRun, true, "The engine cannot be reached" },
        ErrorTraits { ErrorKind::EngineRefused, "engine-refused", 503, NotRun, true, "The engine refused the request" },
        ErrorTraits { ErrorKind::EngineFailed, "engine-failed", 502, MayHaveRun, true, "The engine failed" },
        ErrorTraits { ErrorKind::PromptQuarantined, "prompt-quarantined", 503, NotRun, false, "The prompt has parts on which engines crash" },
        ErrorTraits { ErrorKind::ServiceUnreachable, "service-unreachable", 503, NotRun, true, "The service cannot be reached" },
        ErrorTraits { ErrorKind::ServiceFailed, "service-failed", 502, MayHaveRun, true, "The service failed" },
        ErrorTraits { ErrorKind::ConnectionSilent, "connection-silent", 504, MayHaveRun, true, "The connection went silent" },
        ErrorTraits { ErrorKind::Cancelled, "cancelled", 499, MayHaveRun, false, "The caller went away" },
        ErrorTraits { ErrorKind::OutcomeUnknown, "outcome-unknown", 409, MayHaveRun, false, "The outcome is unknown; the request will not be run again" },
        ErrorTraits { ErrorKind::StoreUnavailable, "store-unavailable", 503, NotRun, true, "The configuration store cannot be reached" },
        ErrorTraits { ErrorKind::StoreOutcomeUnknown, "store-outcome-unknown", 503, MayHaveRun, false, "The answer of the configuration store was lost" },
        ErrorTraits { ErrorKind::RevisionConflict, "revision-conflict", 409, NotRun, false, "The stored value has changed" },
        ErrorTraits { ErrorKind::LeaseLost, "lease-lost", 409, NotRun, false, "The lease is not held" },
        ErrorTraits { ErrorKind::StalePlan, "stale-plan", 409, NotRun, false, "The plan's base revision is no longer in force" },
        ErrorTraits { ErrorKind::InvalidIntent, "invalid-intent", 422, NotRun, false, "The intent is not valid" },
        ErrorTraits { ErrorKind::InvalidSettings, "invalid-settings", 500, NotRun, false, "The settings are not valid" },
        ErrorTraits { ErrorKind::InvalidMessage, "invalid-message", 502, MayHaveRun, true, "A message could not be decoded" },
        ErrorTraits { ErrorKind::Internal, "internal", 500, MayHaveRun, false, "Internal error" },
    };

    static_assert(errorRows.size() == static_cast<size_t>(ErrorKind::Internal) + 1);

    constexpr bool isInEnumerationOrder()
    {
        for (size_t i = 0; i < errorRows.size(); ++i) {
            if (static_cast<size_t>(errorRows.at(i).kind) != i)
                return false;
        }
        return true;
    }
    static_assert(isInEnumerationOrder());

}

const ErrorTraits& errorTraits(ErrorKind kind)
{
    return errorRows.at(static_cast<size_t>(kind));
}

std::span<const ErrorTraits> errorTable()
{
    return errorRows;
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    for (const auto& row : errorRows) {
        if (row.name == name)
            return row.kind;
    }
    return std::nullopt;
}

}
