#pragma once

#include "ErrorKind.h"

#include <chrono>
#include <optional>
#include <string>

namespace borageslip {

/** A failure with its kind and a detail for the reader.

    The kind decides the answer; the detail names the value, the path or the peer at fault and never holds a key.
    @see ErrorKind, Result */
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string detail;
    std::optional<std::chrono::milliseconds> retryAfter {};

    bool mayHaveRun() const { return errorTraits(kind).execution == Execution::MayHaveRun; }
    bool isRetryable() const { return errorTraits(kind).isRetryable; }
};

/** Returns the body of an RFC 9457 problem-details answer. `not_run` is true only where that is certain. */
std::string problemDetails(const Error&, std::string_view requestId);

}
