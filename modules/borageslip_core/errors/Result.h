#pragma once

#include "Error.h"

#include <utility>
#include <variant>

namespace borageslip {

/** Either a value or an Error. */
template <typename T>
using Result = std::variant<T, Error>;

/** Result of an operation that yields nothing. */
using Status = Result<std::monostate>;

template <typename T>
bool isOk(const Result<T>& result) { return std::holds_alternative<T>(result); }

/** Returns the value; the result must hold one. */
template <typename T>
const T& value(const Result<T>& result) { return std::get<T>(result); }

template <typename T>
T value(Result<T>&& result) { return std::get<T>(std::move(result)); }

/** Returns the error; the result must hold one. */
template <typename T>
const Error& error(const Result<T>& result) { return std::get<Error>(result); }

inline Status ok() { return std::monostate {}; }

}
