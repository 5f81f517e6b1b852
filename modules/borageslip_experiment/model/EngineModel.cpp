#include "EngineModel.h"

#include <algorithm>

namespace borageslip {

EngineModel::EngineModel(const EngineModelSettings& settings)
    : m_settings(settings)
{
}

void EngineModel::submit(const EngineJob& job)
{
    m_waiting.push_back({ job });
    m_counts.shareable += job.prefixTokens;
}

void EngineModel::cancel(uint64_t id)
{
    std::erase_if(m_running, [&](const Sequence& sequence) { return sequence.job.id == id; });
    std::erase_if(m_waiting, [&](const Sequence& sequence) { return sequence.job.id == id; });
}

std::vector<std::pair<uint64_t, int64_t>> EngineModel::crash()
{
    std::vector<std::pair<uint64_t, int64_t>> lost;
    for (const auto& sequence : m_running)
        lost.emplace_back(sequence.job.id, sequence.prefilledTokens);
    for (const auto& sequence : m_waiting)
        lost.emplace_back(sequence.job.id, 0);
    m_running.clear();
    m_waiting.clear();
    m_cached.clear();
    m_cachedTokens = 0;
    return lost;
}

int64_t EngineModel::prefilledFor(uint64_t id) const
{
    const auto found = std::find_if(m_running.begin(), m_running.end(), [&](const Sequence& sequence) { return sequence.job.id == id; });
    return found == m_running.end() ? 0 : found->prefilledTokens;
}

int64_t EngineModel::memoryUsed() const
{
    int64_t used = m_cachedTokens;
    for (const auto& sequence : m_running)
        used += sequence.tokensHeld();
    return used;
}

void EngineModel::cachePrefix(const EngineJob& job)
{
    const auto found = std::find_if(m_cached.begin(), m_cached.end(), [&](const auto& entry) { return entry.first == job.prefix; });
    if (found != m_cached.end()) {
        m_cached.splice(m_cached.end(), m_cached, found);
        return;
    }
    m_cached.emplace_back(job.prefix, job.prefixTokens);
    m_cachedTokens += job.prefixTokens;
}

void EngineModel::prepare(Sequence& sequence)
{
    const auto& job = sequence.job;
    const bool isCached = job.prefix != 0 && std::any_of(m_cached.begin(), m_cached.end(), [&](const auto& entry) { return entry.first == job.prefix; });
    sequence.promptTokensLeft = job.promptTokens + (isCached ? 0 : job.prefixTokens);
    if (isCached) {
        cachePrefix(job);
        if (!sequence.wasPreempted)
            m_counts.reused += job.prefixTokens;
    }
}

void EngineModel::admitWaiting()
{
    while (!m_waiting.empty() && m_running.size() < static_cast<size_t>(m_settings.slots)) {
        auto sequence = m_waiting.front();
        m_waiting.pop_front();
        prepare(sequence);
        m_running.push_back(sequence);
    }
}

int64_t EngineModel::prefill()
{
    int64_t tokensLeft = m_settings.prefillChunk;
    for (auto& sequence : m_running) {
        const auto tokens = std::min(tokensLeft, sequence.promptTokensLeft);
        if (tokens == 0)
            continue;
        sequence.promptTokensLeft -= tokens;
        sequence.prefilledTokens += tokens;
        tokensLeft -= tokens;
        m_counts.prefilled += tokens;
        if (sequence.wasPreempted)
            m_counts.recomputed += tokens;
        // Once prefilled, the shared prefix is accounted to the cache instead of to the request.
        const bool isPrefixRead = sequence.promptTokensLeft == 0 && sequence.job.prefix != 0 && sequence.prefilledTokens > sequence.job.promptTokens;
        if (isPrefixRead) {
            sequence.prefilledTokens -= sequence.job.prefixTokens;
            cachePrefix(sequence.job);
        }
    }
    return m_settings.prefillChunk - tokensLeft;
}

void EngineModel::generate()
{
    for (auto sequence = m_running.begin(); sequence != m_running.end();) {
        const auto current = sequence++;
        if (current->promptTokensLeft > 0)
            continue;
        ++current->generated;
        ++m_counts.generated;
        const bool isFinished = current->generated >= current->job.outputTokens;
        m_output.push_back({ current->job.id, current->generated == 1 && !current->hasDeliveredFirstToken, isFinished });
        if (isFinished)
            m_running.erase(current);
    }
}

void EngineModel::evictAndPreempt()
{
    while (memoryUsed() > m_settings.cacheTokens && !m_cached.empty()) {
        m_cachedTokens -= m_cached.front().second;
        m_cached.pop_front();
    }
    while (memoryUsed() > m_settings.cacheTokens && m_running.size() > 1) {
        auto youngest = m_running.back();
        m_running.pop_back();
        ++m_counts.preemptions;
        // The tokens generated so far become part of the prompt that has to be prefilled again.
        youngest.job.promptTokens += youngest.generated;
        youngest.job.outputTokens -= youngest.generated;
        youngest.hasDeliveredFirstToken = youngest.hasDeliveredFirstToken || youngest.generated > 0;
        youngest.wasPreempted = true;
        youngest.generated = 0;
        youngest.prefilledTokens = 0;
        m_waiting.push_front(youngest);
    }
}

std::span<const StepOutput> EngineModel::step(Duration& duration)
{
    m_output.clear();
    evictAndPreempt();
    admitWaiting();
    const auto batch = static_cast<int64_t>(m_running.size());
    const auto tokens = prefill();
    generate();
    const auto baseDuration = m_settings.stepTime + batch * m_settings.stepTimePerRequest + tokens * m_settings.prefillTimePerToken;
    duration = std::chrono::duration_cast<Duration>(baseDuration * m_stepTimeFactor);
    return m_output;
}

}
