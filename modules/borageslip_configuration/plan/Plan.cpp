#include "Plan.h"

#include "../document/EmbeddedSchemas.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace borageslip {

namespace {

    std::string digestText(uint64_t digest)
    {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(digest));
        return text.data();
    }

    uint64_t digestFromText(const std::string& text)
    {
        uint64_t digest = 0;
        std::from_chars(text.data(), text.data() + text.size(), digest, 16);
        return digest;
    }

    nlohmann::json namesOf(const std::vector<ModelId>& models)
    {
        auto names = nlohmann::json::array();
        for (const auto& model : models)
            names.push_back(model.text());
        return names;
    }

}

bool Plan::hasBreach() const
{
    return std::ranges::any_of(warnings, [](const PlanWarning& warning) { return warning.severity == PlanWarning::Severity::Breach; });
}

nlohmann::json Plan::toJson() const
{
    nlohmann::json json {
        { "identity", identity },
        { "base_revision", baseRevision },
        { "base_digest", digestText(baseDigest) },
        { "digest", digestText(digest) },
        { "intent", intent.toJson() },
        { "changes", nlohmann::json::array() },
        { "engines", nlohmann::json::array() },
        { "capacity", nlohmann::json::array() },
        { "warnings", nlohmann::json::array() },
    };
    for (const auto& change : changes) {
        nlohmann::json item { { "path", change.path } };
        if (change.before)
            item["before"] = *change.before;
        if (change.after)
            item["after"] = *change.after;
        json["changes"].push_back(std::move(item));
    }
    for (const auto& engine : engines)
        json["engines"].push_back({ { "engine", engine.engine.text() }, { "loads", namesOf(engine.loads) }, { "drops", namesOf(engine.drops) } });
    for (const auto& model : capacity)
        json["capacity"].push_back({ { "model", model.model.text() }, { "engines_before", model.enginesBefore }, { "engines_after", model.enginesAfter }, { "slots_before", model.slotsBefore }, { "slots_after", model.slotsAfter }, { "moved_chat_share", model.movedChatShare } });
    for (const auto& warning : warnings)
        json["warnings"].push_back({ { "severity", warning.severity == PlanWarning::Severity::Breach ? "breach" : "warning" }, { "path", warning.path }, { "text", warning.text } });
    return json;
}

Result<Plan> Plan::parse(std::string_view text)
{
    const auto document = parseValidated(text, embeddedSchema("plan"));
    if (!isOk(document))
        return Error { ErrorKind::InvalidIntent, "plan: " + error(document).detail };
    const auto& json = value(document);
    auto intent = Intent::fromJson(json["intent"]);
    if (!isOk(intent))
        return error(intent);
    Plan plan;
    plan.identity = json["identity"];
    plan.baseRevision = json["base_revision"];
    plan.baseDigest = digestFromText(json["base_digest"]);
    plan.digest = digestFromText(json["digest"]);
    plan.intent = value(std::move(intent));
    if (baseRevisionOf(plan.identity) != plan.baseRevision)
        return Error { ErrorKind::InvalidIntent, "plan: /identity does not belong to /base_revision" };
    return plan;
}

std::optional<uint64_t> Plan::baseRevisionOf(std::string_view identity)
{
    const auto dash = identity.find('-');
    if (dash == std::string_view::npos || identity.size() != dash + 33)
        return std::nullopt;
    uint64_t revision = 0;
    const auto [stop, status] = std::from_chars(identity.data(), identity.data() + dash, revision);
    return status == std::errc() && stop == identity.data() + dash ? std::optional(revision) : std::nullopt;
}

}
