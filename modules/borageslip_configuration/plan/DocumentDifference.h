#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace borageslip {

/** One field that differs between two documents. */
struct FieldChange {
    std::string path; ///< JSON pointer.
    std::optional<nlohmann::json> before; ///< Unset if the field is added.
    std::optional<nlohmann::json> after; ///< Unset if the field is removed.

    bool operator==(const FieldChange&) const = default;
};

/** Returns the fields that differ between two documents, sorted by path. Objects are compared member by member, arrays
    and scalars as a whole. The top-level member "plan" is ignored. */
std::vector<FieldChange> documentDifference(const nlohmann::json& before, const nlohmann::json& after);

/** Returns the JSON merge patch that turns `from` into `to`. The top-level member "plan" is ignored. */
nlohmann::json mergePatchBetween(const nlohmann::json& from, const nlohmann::json& to);

/** Formats changes as text, one line for each: the path and the values before and after. */
std::string describeChanges(const std::vector<FieldChange>&);

}
