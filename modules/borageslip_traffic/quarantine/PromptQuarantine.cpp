#include "PromptQuarantine.h"

#include <borageslip_core/logging/Log.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace borageslip {

namespace {

    using std::chrono::milliseconds;

    constexpr Duration countInterval = milliseconds(100); ///< Crashes closer together count once: several servers may fail for one other reason.
    constexpr int crashesOfCombination = 3; ///< Counted crashes after which a combination of parts is quarantined.
    constexpr int crashesOfSinglePart = 4; ///< The same for a single part, on which more sound requests may depend.
    constexpr int extraCrashesOfCleared = 2; ///< Needed in addition for a part that was cleared before.
    constexpr int crashesOfCompanion = 2; ///< Counted crashes from which on a part can explain those of another one.
    constexpr Duration suspectLifetime = std::chrono::minutes(2); ///< After the last crash of the suspect.
    constexpr Duration quarantineTime = std::chrono::minutes(10); ///< After the last request with the parts.
    constexpr Duration renewalTime = std::chrono::hours(1); ///< After a quarantine, in which one crash renews it.
    constexpr size_t maxSuspects = 512;
    constexpr size_t maxCleared = 512;
    constexpr size_t maxQuarantines = 16;

    bool containsAll(std::span<const uint64_t> sorted, std::span<const uint64_t> required)
    {
        return std::includes(sorted.begin(), sorted.end(), required.begin(), required.end());
    }

    /** Whether the quarantine of the first combination applies to every prompt with the second one. */
    bool covers(const PromptFingerprint& quarantined, const PromptFingerprint& prompt)
    {
        return quarantined.model == prompt.model && containsAll(prompt.parts, quarantined.parts);
    }

}

void PromptQuarantine::recordCrash(const ServerCrash& crash)
{
    for (const auto& prompt : crash.suspects) {
        if (prompt.parts.size() > maxPartsOfSuspect)
            continue;
        for (const auto part : prompt.parts)
            recordSuspect(crash.server, prompt, part);
    }
    for (const auto& prompt : crash.suspects) {
        for (const auto part : prompt.parts) {
            const PartKey key { prompt.model, part };
            if (const auto found = m_suspects.find(key); found != m_suspects.end())
                judge(key, found->second);
        }
    }
}

void PromptQuarantine::recordSuspect(uint64_t server, const PromptFingerprint& prompt, uint64_t part)
{
    const auto now = m_clock.now();
    const PartKey key { prompt.model, part };
    const bool wasCleared = m_cleared.erase(key) > 0;
    if (!m_suspects.contains(key) && m_suspects.size() >= maxSuspects)
        dropOldestSuspect();
    const auto [found, isNew] = m_suspects.try_emplace(key);
    auto& suspect = found->second;
    if (isNew) {
        suspect = { 1, now, now, now + suspectLifetime, server, false, wasCleared, prompt.parts };
        std::erase(suspect.companions, part);
        return;
    }
    suspect.endsAt = std::max(suspect.endsAt, now + suspectLifetime);
    std::erase_if(suspect.companions, [&](uint64_t other) { return !std::binary_search(prompt.parts.begin(), prompt.parts.end(), other); });
    suspect.isOnSeveralServers |= server != suspect.firstServer;
    if (now - suspect.countedAt < countInterval)
        return;
    ++suspect.crashes;
    suspect.countedAt = now;
}

bool PromptQuarantine::isExplainedByCompanion(const PartKey& key, const Suspect& suspect) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto& entry) {
        const auto& [otherKey, other] = entry;
        const bool isSameModel = otherKey.first == key.first;
        const bool impliesPart = std::binary_search(other.companions.begin(), other.companions.end(), key.second);
        const bool isImplied = std::binary_search(suspect.companions.begin(), suspect.companions.end(), otherKey.second);
        return isSameModel && !other.wasCleared && other.crashes >= crashesOfCompanion && impliesPart && !isImplied;
    });
}

void PromptQuarantine::judge(const PartKey& key, const Suspect& suspect)
{
    const int needed = (suspect.companions.empty() ? crashesOfSinglePart : crashesOfCombination) + (suspect.wasCleared ? extraCrashesOfCleared : 0);
    if (suspect.crashes < needed || !suspect.isOnSeveralServers || isExplainedByCompanion(key, suspect))
        return;
    PromptFingerprint prompt { key.first, suspect.companions };
    prompt.parts.insert(std::lower_bound(prompt.parts.begin(), prompt.parts.end(), key.second), key.second);
    quarantine(std::move(prompt), m_clock.now() + quarantineTime);
}

void PromptQuarantine::quarantine(PromptFingerprint prompt, TimePoint endsAt)
{
    const auto known = std::find_if(m_quarantines.begin(), m_quarantines.end(), [&](const auto& entry) { return covers(entry.prompt, prompt); });
    if (known != m_quarantines.end()) {
        known->endsAt = std::max(known->endsAt, endsAt);
        return;
    }
    std::erase_if(m_quarantines, [&](const auto& entry) { return covers(prompt, entry.prompt); });
    if (m_quarantines.size() >= maxQuarantines)
        m_quarantines.erase(std::min_element(m_quarantines.begin(), m_quarantines.end(), [](const auto& first, const auto& second) { return first.endsAt < second.endsAt; }));
    logEvent(Severity::Error, "prompt-quarantined", fingerprintJson(prompt));
    m_quarantines.push_back({ std::move(prompt), endsAt });
}

PromptFingerprint PromptQuarantine::recordProgress(const PromptFingerprint& prompt, TimePoint begunAt)
{
    PromptFingerprint cleared { prompt.model, {} };
    for (const auto part : prompt.parts) {
        const auto found = m_suspects.find({ prompt.model, part });
        if (found != m_suspects.end() && begunAt > found->second.firstAt)
            cleared.parts.push_back(part);
    }
    clear(cleared);
    return cleared;
}

void PromptQuarantine::clear(const PromptFingerprint& prompt)
{
    for (const auto part : prompt.parts)
        clearPart({ prompt.model, part });
}

void PromptQuarantine::clearPart(const PartKey& key)
{
    if (const auto suspect = m_suspects.find(key); suspect != m_suspects.end()) {
        logEvent(Severity::Info, "suspect-cleared", { { "part", fingerprintJson({ key.first, { key.second } }) }, { "crashes", suspect->second.crashes } });
        m_suspects.erase(suspect);
    }
    if (m_cleared.size() >= maxCleared)
        m_cleared.erase(std::min_element(m_cleared.begin(), m_cleared.end(), [](const auto& first, const auto& second) { return first.second < second.second; }));
    m_cleared[key] = m_clock.now();
    for (auto& [other, suspect] : m_suspects) {
        if (other.first == key.first)
            std::erase(suspect.companions, key.second);
    }
    for (auto& entry : m_quarantines) {
        if (entry.prompt.model != key.first || std::erase(entry.prompt.parts, key.second) == 0)
            continue;
        logEvent(Severity::Info, "prompt-part-cleared", { { "cleared", fingerprintJson({ key.first, { key.second } }) }, { "quarantined", fingerprintJson(entry.prompt) } });
    }
    std::erase_if(m_quarantines, [](const auto& entry) { return entry.prompt.parts.empty(); });
}

std::optional<Duration> PromptQuarantine::quarantineOf(const PromptFingerprint& prompt)
{
    for (auto& entry : m_quarantines) {
        if (!covers(entry.prompt, prompt))
            continue;
        entry.endsAt = m_clock.now() + quarantineTime;
        return quarantineTime;
    }
    return std::nullopt;
}

void PromptQuarantine::adopt(const QuarantinedPrompt& other)
{
    auto prompt = other.prompt;
    std::erase_if(prompt.parts, [&](uint64_t part) { return m_cleared.contains({ prompt.model, part }); });
    const bool isValid = !prompt.parts.empty() && prompt.parts.size() <= maxPartsOfSuspect && std::is_sorted(prompt.parts.begin(), prompt.parts.end());
    if (isValid && other.timeLeft > milliseconds(0))
        quarantine(std::move(prompt), m_clock.now() + std::min<Duration>(other.timeLeft, quarantineTime));
}

std::vector<QuarantinedPrompt> PromptQuarantine::quarantined() const
{
    std::vector<QuarantinedPrompt> prompts;
    for (const auto& entry : m_quarantines)
        prompts.push_back({ entry.prompt, std::chrono::duration_cast<milliseconds>(entry.endsAt - m_clock.now()) });
    return prompts;
}

void PromptQuarantine::watch(const PromptFingerprint& prompt)
{
    const auto now = m_clock.now();
    for (const auto part : prompt.parts) {
        auto& suspect = m_suspects[{ prompt.model, part }];
        suspect = { crashesOfSinglePart - 1, now, now, now + renewalTime, 0, true, false, prompt.parts };
        std::erase(suspect.companions, part);
    }
}

void PromptQuarantine::expire()
{
    const auto now = m_clock.now();
    for (const auto& entry : m_quarantines) {
        if (now < entry.endsAt)
            continue;
        logEvent(Severity::Info, "prompt-quarantine-ended", fingerprintJson(entry.prompt));
        watch(entry.prompt);
    }
    std::erase_if(m_quarantines, [&](const auto& entry) { return now >= entry.endsAt; });
    std::erase_if(m_suspects, [&](const auto& entry) { return now >= entry.second.endsAt; });
    std::erase_if(m_cleared, [&](const auto& entry) { return now - entry.second >= quarantineTime; });
}

void PromptQuarantine::dropOldestSuspect()
{
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& first, const auto& second) { return first.second.countedAt < second.second.countedAt; }));
}

}
