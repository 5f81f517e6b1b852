#include "EmbeddedSchemas.h"

#include <map>
#include <stdexcept>
#include <string>

namespace borageslip {

const nlohmann::json& embeddedSchema(std::string_view name)
{
    static const auto s_parsed = [] {
        std::map<std::string, nlohmann::json, std::less<>> parsed;
        for (const auto& schema : embeddedSchemas())
            parsed.emplace(schema.name, nlohmann::json::parse(schema.json));
        return parsed;
    }();
    const auto found = s_parsed.find(name);
    if (found == s_parsed.end())
        throw std::logic_error("no embedded schema is named " + std::string(name));
    return found->second;
}

}
