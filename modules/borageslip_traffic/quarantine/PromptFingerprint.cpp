#include "PromptFingerprint.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace borageslip {

PromptFingerprint promptFingerprint(const RequestMetadata& metadata)
{
    PromptFingerprint fingerprint { metadata.model, {} };
    for (size_t i = 0; i + 1 < metadata.promptParts.size(); ++i)
        fingerprint.parts.push_back(metadata.promptParts[i].id);
    std::sort(fingerprint.parts.begin(), fingerprint.parts.end());
    fingerprint.parts.erase(std::unique(fingerprint.parts.begin(), fingerprint.parts.end()), fingerprint.parts.end());
    return fingerprint;
}

nlohmann::json fingerprintJson(const PromptFingerprint& fingerprint)
{
    constexpr int hexadecimal = 16;
    auto parts = nlohmann::json::array();
    for (const auto part : fingerprint.parts) {
        std::array<char, 16> text {};
        const auto end = std::to_chars(text.begin(), text.end(), part, hexadecimal).ptr;
        parts.push_back(std::string(text.begin(), end));
    }
    return { { "model", fingerprint.model }, { "parts", std::move(parts) } };
}

}
