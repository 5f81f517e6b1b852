#include "PromptFingerprint.h"

#include <borageslip_core/identity/Hash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace borageslip {

namespace {

    constexpr size_t maxModelBytes = 64;
    constexpr std::string_view interruptedPrefix = " interrupted ";

    std::string hexadecimalText(uint64_t number)
    {
        constexpr int hexadecimal = 16;
        std::array<char, 16> text {};
        const auto end = std::to_chars(text.begin(), text.end(), number, hexadecimal).ptr;
        return { text.begin(), end };
    }

}

PromptFingerprint promptFingerprint(const RequestMetadata& metadata)
{
    const auto& model = metadata.model;
    PromptFingerprint fingerprint { model.size() <= maxModelBytes ? model : hexadecimalText(hashBytes(model)), {} };
    const size_t sharedParts = metadata.promptParts.empty() ? 0 : metadata.promptParts.size() - 1;
    for (size_t i = sharedParts - std::min(sharedParts, maxPartsOfSuspect); i < sharedParts; ++i)
        fingerprint.parts.push_back(metadata.promptParts[i].id);
    std::sort(fingerprint.parts.begin(), fingerprint.parts.end());
    fingerprint.parts.erase(std::unique(fingerprint.parts.begin(), fingerprint.parts.end()), fingerprint.parts.end());
    return fingerprint;
}

PromptFingerprint requestFingerprint(const RequestMetadata& metadata, const HttpRequest& request)
{
    uint64_t hash = hashBytes(metadata.model);
    for (const auto& part : metadata.promptParts)
        hash = hashPair(hash, part.id);
    if (metadata.promptParts.empty()) {
        const auto target = request.target();
        hash = hashPair(hashBytes({ target.data(), target.size() }, static_cast<uint64_t>(request.method())), hashBytes(request.body()));
    }
    return { std::string(requestScope), { hash } };
}

std::vector<PromptFingerprint> suspectFingerprints(const RequestMetadata& metadata, const HttpRequest& request)
{
    std::vector<PromptFingerprint> fingerprints { requestFingerprint(metadata, request) };
    if (auto prompt = promptFingerprint(metadata); !prompt.parts.empty())
        fingerprints.push_back(std::move(prompt));
    return fingerprints;
}

PromptFingerprint interruptedFingerprint(PromptFingerprint fingerprint)
{
    fingerprint.model.insert(0, interruptedPrefix);
    return fingerprint;
}

bool isInterruptedScope(std::string_view scope)
{
    return scope.starts_with(interruptedPrefix);
}

bool isRequestScope(std::string_view scope)
{
    if (isInterruptedScope(scope))
        scope.remove_prefix(interruptedPrefix.size());
    return scope == requestScope;
}

std::string partsText(const PromptFingerprint& fingerprint)
{
    std::string text;
    for (const auto part : fingerprint.parts)
        text.append(text.empty() ? "" : ",").append(hexadecimalText(part));
    return text;
}

nlohmann::json fingerprintJson(const PromptFingerprint& fingerprint)
{
    auto parts = nlohmann::json::array();
    for (const auto part : fingerprint.parts)
        parts.push_back(hexadecimalText(part));
    return { { "model", fingerprint.model }, { "parts", std::move(parts) } };
}

}
