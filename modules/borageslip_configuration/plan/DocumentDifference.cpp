#include "DocumentDifference.h"

#include <algorithm>

namespace borageslip {

namespace {

    std::string escapePointer(std::string_view name)
    {
        std::string escaped;
        for (const char character : name) {
            if (character == '~')
                escaped += "~0";
            else if (character == '/')
                escaped += "~1";
            else
                escaped += character;
        }
        return escaped;
    }

    void collectChanges(const nlohmann::json& before, const nlohmann::json& after, const std::string& path, std::vector<FieldChange>& changes)
    {
        if (before == after)
            return;
        if (!before.is_object() || !after.is_object()) {
            changes.push_back({ path, before, after });
            return;
        }
        for (const auto& [name, member] : before.items()) {
            const auto memberPath = path + "/" + escapePointer(name);
            if (const auto other = after.find(name); other != after.end())
                collectChanges(member, *other, memberPath, changes);
            else
                changes.push_back({ memberPath, member, std::nullopt });
        }
        for (const auto& [name, member] : after.items()) {
            if (!before.contains(name))
                changes.push_back({ path + "/" + escapePointer(name), std::nullopt, member });
        }
    }

    nlohmann::json mergePatch(const nlohmann::json& from, const nlohmann::json& to)
    {
        if (!from.is_object() || !to.is_object())
            return to;
        auto patch = nlohmann::json::object();
        for (const auto& [name, member] : from.items()) {
            if (!to.contains(name))
                patch[name] = nullptr;
        }
        for (const auto& [name, member] : to.items()) {
            const auto old = from.find(name);
            if (old == from.end())
                patch[name] = member;
            else if (*old != member)
                patch[name] = mergePatch(*old, member);
        }
        return patch;
    }

    nlohmann::json withoutPlan(nlohmann::json document)
    {
        if (document.is_object())
            document.erase("plan");
        return document;
    }

}

std::vector<FieldChange> documentDifference(const nlohmann::json& before, const nlohmann::json& after)
{
    std::vector<FieldChange> changes;
    collectChanges(withoutPlan(before), withoutPlan(after), "", changes);
    std::ranges::sort(changes, {}, &FieldChange::path);
    return changes;
}

nlohmann::json mergePatchBetween(const nlohmann::json& from, const nlohmann::json& to)
{
    return mergePatch(withoutPlan(from), withoutPlan(to));
}

std::string describeChanges(const std::vector<FieldChange>& changes)
{
    std::string text;
    for (const auto& change : changes) {
        text += text.empty() ? "" : "\n";
        text += change.path + ": " + (change.before ? change.before->dump() : "(absent)") + " -> " + (change.after ? change.after->dump() : "(absent)");
    }
    return text;
}

}
