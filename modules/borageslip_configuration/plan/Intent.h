#pragma once

#include <borageslip_core/borageslip_core.h>

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace borageslip {

/** A change that an operator requests: a JSON merge patch for the fleet configuration, the operator and the reason.
    @see schemas/intent.schema.json */
struct Intent {
    nlohmann::json patch;
    std::string operatorName;
    std::string reason;

    /** Parses an intent.
        Errors: InvalidIntent, with the path of every invalid field. */
    static Result<Intent> parse(std::string_view text);
    static Result<Intent> fromJson(const nlohmann::json&);
    nlohmann::json toJson() const;
};

}
