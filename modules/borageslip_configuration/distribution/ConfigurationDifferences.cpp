#include "ConfigurationDifferences.h"

#include "../plan/DocumentDifference.h"

#include <algorithm>
#include <array>

namespace borageslip {

namespace {

    struct KindName {
        ConfigurationResponse::Kind kind;
        std::string_view name;
    };

    constexpr std::array kindNames {
        KindName { ConfigurationResponse::Kind::Document, "document" },
        KindName { ConfigurationResponse::Kind::Difference, "difference" },
        KindName { ConfigurationResponse::Kind::UpToDate, "none" },
    };

    bool containsNull(const nlohmann::json& json)
    {
        return json.is_null() || (json.is_structured() && std::ranges::any_of(json, containsNull));
    }

    std::string patchText(const nlohmann::json& before, const nlohmann::json& after)
    {
        auto patch = mergePatchBetween(before, after);
        if (const auto plan = after.find("plan"); plan != after.end())
            patch["plan"] = *plan;
        else if (before.contains("plan"))
            patch["plan"] = nullptr;
        return patch.dump();
    }

    Error invalidPatchError()
    {
        return { ErrorKind::InvalidMessage, "the difference that the peer sent is not a list of merge patches or has no base" };
    }

}

std::string_view ConfigurationResponse::kindName(Kind kind)
{
    return std::ranges::find(kindNames, kind, &KindName::kind)->name;
}

std::optional<ConfigurationResponse::Kind> ConfigurationResponse::kindFromName(std::string_view name)
{
    const auto* const found = std::ranges::find(kindNames, name, &KindName::name);
    return found == kindNames.end() ? std::nullopt : std::optional(found->kind);
}

Result<std::string> ConfigurationResponse::resolveDocument(const AppliedConfiguration* held) const
{
    std::string text = body;
    if (kind == Kind::UpToDate)
        return Error { ErrorKind::InvalidMessage, "the peer has no newer configuration" };
    if (kind == Kind::Difference) {
        const auto patches = nlohmann::json::parse(body, nullptr, false);
        if (!held || !patches.is_array() || !std::ranges::all_of(patches, [](const auto& patch) { return patch.is_object(); }))
            return invalidPatchError();
        auto document = held->configuration->document();
        for (const auto& patch : patches)
            document.merge_patch(patch);
        text = document.dump();
    }
    if (hashBytes(text) != digest)
        return Error { ErrorKind::InvalidMessage, "the configuration from the peer does not match its announced digest" };
    return text;
}

ConfigurationDifferences::ConfigurationDifferences()
    : ConfigurationDifferences(Limits {})
{
}

ConfigurationDifferences::ConfigurationDifferences(Limits limits)
    : m_limits(limits)
{
}

void ConfigurationDifferences::configurationApplied(const AppliedConfiguration& applied)
{
    BORAGESLIP_INVARIANT(!containsNull(applied.configuration->document()), "I7", "the configuration contains a null value, which a merge patch cannot express");
    // The holder never notifies concurrently, so only this thread writes m_newest and the patch can be built outside
    // the lock.
    std::string text;
    if (m_newest.configuration)
        text = patchText(m_newest.configuration->document(), applied.configuration->document());
    const std::lock_guard lock(m_mutex);
    if (m_newest.configuration) {
        m_bytes += text.size();
        m_patches.push_back({ m_newest.revision, std::move(text) });
    }
    m_newest = applied;
    while (m_patches.size() > m_limits.patches || m_bytes > m_limits.bytes) {
        m_bytes -= m_patches.front().text.size();
        m_patches.pop_front();
    }
}

Result<ConfigurationResponse> ConfigurationDifferences::responseFor(uint64_t heldRevision) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_newest.configuration)
        return Error { ErrorKind::NoConfiguration, "this daemon has no active configuration yet" };
    ConfigurationResponse answer { ConfigurationResponse::Kind::UpToDate, m_newest.revision, m_newest.configuration->digest(), "" };
    if (heldRevision >= m_newest.revision)
        return answer;
    answer.kind = ConfigurationResponse::Kind::Document;
    answer.body = m_newest.configuration->text();
    if (m_patches.empty() || heldRevision < m_patches.front().from)
        return answer;
    auto first = std::ranges::upper_bound(m_patches, heldRevision, {}, &Patch::from);
    --first;
    std::string patches;
    for (; first != m_patches.end(); ++first)
        patches += (patches.empty() ? "[" : ",") + first->text;
    patches += "]";
    if (patches.size() >= answer.body.size())
        return answer;
    answer.kind = ConfigurationResponse::Kind::Difference;
    answer.body = std::move(patches);
    return answer;
}

}
