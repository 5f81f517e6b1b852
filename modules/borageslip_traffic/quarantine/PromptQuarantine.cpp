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
    constexpr int crashesOfRequest = 3; ///< The same for a whole request, on which only its repetitions depend.
    constexpr int crashesOfSinglePart = 4; ///< The same for a single part, on which more sound requests may depend.
    constexpr int crashesOfInterrupted = 5; ///< The same for responses that had progressed: many sound ones are interrupted by each crash.
    constexpr Duration interruptedTime = std::chrono::seconds(2); ///< From the first crash, in which sound prompts have complete responses.
    constexpr int extraCrashesOfCleared = 2; ///< Needed in addition for a part that was cleared before.
    constexpr int crashesOfCompanion = 2; ///< Counted crashes from which on a part can explain those of another one.
    constexpr Duration suspectLifetime = std::chrono::minutes(2); ///< After the last crash of the suspect.
    constexpr Duration quarantineTime = std::chrono::minutes(10); ///< After the last request with the parts.
    constexpr Duration renewalTime = std::chrono::hours(1); ///< After a quarantine, in which one crash renews it.
    constexpr size_t maxSuspects = 4096;
    constexpr size_t maxCleared = 4096;
    constexpr size_t maxQuarantines = 16;
    constexpr size_t maxPartsOfQuarantine = 32; ///< Bounds the size of reports.

    bool containsAll(std::span<const uint64_t> sorted, std::span<const uint64_t> required)
    {
        return std::includes(sorted.begin(), sorted.end(), required.begin(), required.end());
    }

    bool contains(std::span<const uint64_t> sorted, uint64_t part)
    {
        return std::binary_search(sorted.begin(), sorted.end(), part);
    }

    /** The first parts themselves if the others contain all of them. */
    std::shared_ptr<const std::vector<uint64_t>> intersection(const std::shared_ptr<const std::vector<uint64_t>>& parts, std::span<const uint64_t> others)
    {
        if (containsAll(others, *parts))
            return parts;
        std::vector<uint64_t> common;
        std::set_intersection(parts->begin(), parts->end(), others.begin(), others.end(), std::back_inserter(common));
        return std::make_shared<const std::vector<uint64_t>>(std::move(common));
    }

    /** Whether the quarantine of the first combination applies to every prompt with the second one. */
    bool covers(const PromptFingerprint& quarantined, const PromptFingerprint& prompt)
    {
        return quarantined.model == prompt.model && containsAll(prompt.parts, quarantined.parts);
    }

}

void PromptQuarantine::recordCrash(const ServerCrash& crash)
{
    // Those that are suspects already come first, so that many new ones don't displace them.
    for (const auto& prompt : crash.suspects)
        countCrash(crash.server, prompt);
    for (const auto& prompt : crash.suspects)
        addSuspects(crash.server, prompt);
    for (const auto& prompt : crash.suspects) {
        for (const auto part : prompt.parts) {
            const PartKey key { prompt.model, part };
            if (const auto found = m_suspects.find(key); found != m_suspects.end())
                judge(key, found->second);
        }
    }
}

void PromptQuarantine::countCrash(uint64_t server, const PromptFingerprint& prompt)
{
    const auto now = m_clock.now();
    std::map<PartsPtr, PartsPtr> common; ///< What is left of the parts that were always together.
    for (const auto part : prompt.parts) {
        const auto found = m_suspects.find({ prompt.model, part });
        if (found == m_suspects.end())
            continue;
        auto& suspect = found->second;
        suspect.endsAt = std::max(suspect.endsAt, now + suspectLifetime);
        suspect.isOnSeveralServers |= server != suspect.firstServer;
        auto& together = common[suspect.together];
        if (!together)
            together = intersection(suspect.together, prompt.parts);
        suspect.together = together;
        if (now - suspect.countedAt < countInterval)
            continue;
        ++suspect.crashes;
        suspect.countedAt = now;
    }
}

void PromptQuarantine::addSuspects(uint64_t server, const PromptFingerprint& prompt)
{
    std::vector<uint64_t> added;
    std::copy_if(prompt.parts.begin(), prompt.parts.end(), std::back_inserter(added), [&](uint64_t part) { return !m_suspects.contains({ prompt.model, part }); });
    if (added.empty() || added.size() > maxPartsOfSuspect)
        return;
    makeRoom(added.size());
    const auto now = m_clock.now();
    const auto together = std::make_shared<const std::vector<uint64_t>>(prompt.parts);
    for (const auto part : added) {
        const PartKey key { prompt.model, part };
        const bool wasCleared = m_cleared.erase(key) > 0;
        m_suspects.emplace(key, Suspect { 1, now, now, now + suspectLifetime, server, false, wasCleared, together });
    }
}

std::vector<uint64_t> PromptQuarantine::companionsOf(const PartKey& key, const Suspect& suspect) const
{
    std::vector<uint64_t> companions;
    for (const auto part : *suspect.together) {
        const PartKey other { key.first, part };
        const auto found = m_suspects.find(other);
        const bool wasCleared = m_cleared.contains(other) || (found != m_suspects.end() && found->second.wasCleared);
        if (part != key.second && !wasCleared)
            companions.push_back(part);
    }
    return companions;
}

bool PromptQuarantine::isExplainedByCompanion(const PartKey& key, const Suspect& suspect) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto& entry) {
        const auto& [otherKey, other] = entry;
        const bool isSameModel = otherKey.first == key.first && otherKey.second != key.second;
        return isSameModel && !other.wasCleared && other.crashes >= crashesOfCompanion && contains(*other.together, key.second) && !contains(*suspect.together, otherKey.second);
    });
}

void PromptQuarantine::judge(const PartKey& key, const Suspect& suspect)
{
    if (suspect.crashes < std::min(crashesOfCombination, crashesOfRequest) || !suspect.isOnSeveralServers)
        return;
    const bool isRequest = isRequestScope(key.first);
    const bool isInterruptedPrompt = !isRequest && isInterruptedScope(key.first);
    if (isInterruptedPrompt && (suspect.crashes < crashesOfInterrupted || m_clock.now() - suspect.firstAt < interruptedTime))
        return;
    auto companions = companionsOf(key, suspect);
    const int neededAlone = isRequest ? crashesOfRequest : crashesOfSinglePart;
    const int needed = (companions.empty() ? neededAlone : crashesOfCombination) + (suspect.wasCleared ? extraCrashesOfCleared : 0);
    if (suspect.crashes < needed || isExplainedByCompanion(key, suspect))
        return;
    // A combination of fewer parts applies to more prompts, and its messages are shorter.
    companions.resize(std::min(companions.size(), maxPartsOfQuarantine - 1));
    PromptFingerprint prompt { key.first, std::move(companions) };
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
    const bool isValid = !prompt.parts.empty() && prompt.parts.size() <= maxPartsOfQuarantine && std::is_sorted(prompt.parts.begin(), prompt.parts.end());
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
    const auto together = std::make_shared<const std::vector<uint64_t>>(prompt.parts);
    makeRoom(prompt.parts.size());
    for (const auto part : prompt.parts)
        m_suspects.insert_or_assign({ prompt.model, part }, Suspect { crashesOfSinglePart - 1, now, now, now + renewalTime, 0, true, false, together });
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

void PromptQuarantine::makeRoom(size_t count)
{
    if (m_suspects.size() + count <= maxSuspects)
        return;
    using Entry = decltype(m_suspects)::iterator;
    std::vector<Entry> entries;
    for (auto entry = m_suspects.begin(); entry != m_suspects.end(); ++entry)
        entries.push_back(entry);
    const auto excess = std::min(entries.size(), m_suspects.size() + count - maxSuspects);
    const auto isLess = [](const Entry& first, const Entry& second) {
        return std::pair(first->second.crashes, first->second.countedAt) < std::pair(second->second.crashes, second->second.countedAt);
    };
    std::nth_element(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(excess) - 1, entries.end(), isLess);
    for (size_t i = 0; i < excess; ++i)
        m_suspects.erase(entries[i]);
}

}
