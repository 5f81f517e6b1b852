#include "Intent.h"

#include "../document/EmbeddedSchemas.h"

namespace borageslip {

Result<Intent> Intent::parse(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded())
        return Error { ErrorKind::InvalidIntent, "the intent is not valid JSON" };
    return fromJson(document);
}

Result<Intent> Intent::fromJson(const nlohmann::json& document)
{
    std::string detail;
    for (const auto& problem : validateAgainstSchema(document, embeddedSchema("intent")))
        detail += (detail.empty() ? "" : "; ") + (problem.path.empty() ? "/" : problem.path) + ": " + problem.expected;
    if (detail.empty() && document["patch"].contains("plan"))
        detail = "/patch/plan: not allowed; the confirmation sets this field";
    if (!detail.empty())
        return Error { ErrorKind::InvalidIntent, detail };
    return Intent { document["patch"], document["operator"], document["reason"] };
}

nlohmann::json Intent::toJson() const
{
    return { { "patch", patch }, { "operator", operatorName }, { "reason", reason } };
}

}
