#pragma once

#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

namespace borageslip {

/** A JSON schema from schemas/, compiled into the program so that an instance needs no files besides its binary. */
struct EmbeddedSchema {
    std::string_view name; ///< File name without ".schema.json".
    std::string_view json;
};

std::span<const EmbeddedSchema> embeddedSchemas();

/** Returns the parsed schema with this name.
    Throws std::logic_error if there is none. */
const nlohmann::json& embeddedSchema(std::string_view name);

}
