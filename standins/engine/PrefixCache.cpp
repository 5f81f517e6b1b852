#include "PrefixCache.h"

#include <algorithm>

namespace borageslip::standin {

namespace {

    constexpr size_t maxEvents = 100'000;

}

PrefixCache::PrefixCache(Settings settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
}

uint64_t PrefixCache::use(const std::string& chat)
{
    const auto found = m_byChat.find(chat);
    if (found == m_byChat.end())
        return 0;
    m_entries.splice(m_entries.begin(), m_entries, found->second);
    return found->second->tokens;
}

uint64_t PrefixCache::tokens(const std::string& chat) const
{
    const auto found = m_byChat.find(chat);
    return found == m_byChat.end() ? 0 : found->second->tokens;
}

void PrefixCache::store(const std::string& chat, uint64_t tokens, SteadyTime now)
{
    if (chat.empty() || tokens > m_settings.capacityTokens)
        return;
    if (const auto found = m_byChat.find(chat); found != m_byChat.end()) {
        // A shorter run does not truncate the longer prefix already cached.
        tokens = std::max(tokens, found->second->tokens);
        m_totalTokens -= found->second->tokens;
        m_entries.erase(found->second);
    }
    m_entries.push_front({ chat, tokens });
    m_byChat[chat] = m_entries.begin();
    m_totalTokens += tokens;
    publish(true, chat, tokens, now);
    while (m_totalTokens > m_settings.capacityTokens)
        evictOldest(now);
}

void PrefixCache::clear(SteadyTime now)
{
    while (!m_entries.empty())
        evictOldest(now);
}

void PrefixCache::evictOldest(SteadyTime now)
{
    const auto entry = m_entries.back();
    m_entries.pop_back();
    m_byChat.erase(entry.chat);
    m_totalTokens -= entry.tokens;
    publish(false, entry.chat, entry.tokens, now);
}

void PrefixCache::publish(bool isStored, const std::string& chat, uint64_t tokens, SteadyTime now)
{
    const auto sequence = m_nextSequence++;
    if (static_cast<int>(m_random() % 100) < m_settings.eventGapPercent)
        return;
    m_events.push_back({ sequence, isStored, chat, tokens, now + m_settings.eventLag });
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

PrefixCache::Events PrefixCache::eventsFrom(uint64_t sequence, SteadyTime now) const
{
    Events result { std::max<uint64_t>(sequence, 1), {} };
    auto event = std::lower_bound(m_events.begin(), m_events.end(), sequence, [](const Event& e, uint64_t s) { return e.sequence < s; });
    for (; event != m_events.end() && event->visibleFrom <= now; ++event) {
        result.events.push_back(*event);
        result.next = event->sequence + 1;
    }
    return result;
}

}
