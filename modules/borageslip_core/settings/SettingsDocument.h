#pragma once

#include "../errors/Result.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace borageslip {

/** One field of a document that does not fit its schema. */
struct FieldProblem {
    std::string path; ///< For example "/listen/port"; empty for the document itself.
    std::string expected;
};

/** Validates a JSON value against a JSON Schema. Returns every bad field; an empty list means valid. */
std::vector<FieldProblem> validateAgainstSchema(const nlohmann::json& document, const nlohmann::json& schema);

/** Parses a JSON text and validates it.
    Errors: InvalidSettings, with every bad field named in the detail. */
Result<nlohmann::json> parseValidated(std::string_view text, const nlohmann::json& schema);

/** Reads a whole file. Errors: InvalidSettings when it cannot be read. */
Result<std::string> readFile(const std::string& path);

/** Reads a JSON file and validates it. Errors: as parseValidated. */
Result<nlohmann::json> readSettings(const std::string& path, const nlohmann::json& schema);

}
