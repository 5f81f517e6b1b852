#include "WorkClassifier.h"

#include <algorithm>
#include <bit>
#include <borageslip_core/identity/Hash.h>

namespace borageslip {

namespace {

    uint64_t similarityKey(const WorkFeatures& features)
    {
        const auto magnitude = [](int size) { return static_cast<uint64_t>(std::bit_width(static_cast<unsigned>(std::max(size, 0)))); };
        const uint64_t shape = magnitude(features.maxTokens) | (magnitude(features.promptTokens) << 8) | (static_cast<uint64_t>(static_cast<uint32_t>(features.priority)) << 16);
        return hashPair(hashBytes(features.account.text()), shape);
    }

}

WorkClass WorkClassifier::classify(const WorkFeatures& features)
{
    const auto* history = m_history.find(similarityKey(features));
    const bool isKnown = history && history->samples >= m_settings.minimumSamples;
    // Measured durations take precedence, because callers leave max_tokens at a default far above what they use.
    const bool isLong = isKnown
        ? history->meanSeconds >= std::chrono::duration<float>(m_settings.longDuration).count()
        : features.maxTokens >= m_settings.longTokens || features.promptTokens >= m_settings.longPromptTokens;
    if (isLong)
        return WorkClass::Long;
    const bool isSmall = features.maxTokens > 0 && features.maxTokens <= m_settings.urgentMaxTokens && features.promptTokens <= m_settings.urgentMaxPromptTokens;
    return features.priority <= m_settings.urgentPriority || isSmall ? WorkClass::Urgent : WorkClass::Standard;
}

void WorkClassifier::setMaxShortTokens(int tokens)
{
    m_settings.longTokens = tokens + 1;
    m_settings.longDuration = m_settings.longTokens * m_settings.timePerToken;
    m_settings.urgentMaxTokens = std::min(Settings().urgentMaxTokens, tokens / 4);
}

void WorkClassifier::recordFinished(const WorkFeatures& features, Duration duration)
{
    auto& history = m_history.findOrInsert(similarityKey(features));
    history.samples = std::min(history.samples + 1, 1000);
    // A plain mean at first, then an exponential moving average that follows a change of behaviour within tens of
    // requests.
    const float gain = std::max(1.0F / static_cast<float>(history.samples), 0.05F);
    history.meanSeconds += gain * (std::chrono::duration<float>(duration).count() - history.meanSeconds);
}

}
