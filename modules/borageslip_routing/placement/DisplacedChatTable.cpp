#include "DisplacedChatTable.h"

namespace borageslip {

void DisplacedChatTable::recordServed(ChatKey chat, EngineHash servedAt, EngineHash firstChoice, TimePoint now)
{
    if (servedAt == firstChoice) {
        m_table.erase(chat.hash);
        return;
    }
    m_table.findOrInsert(chat.hash) = { servedAt, now };
}

std::optional<EngineHash> DisplacedChatTable::find(ChatKey chat, TimePoint now)
{
    const auto* entry = m_table.peek(chat.hash);
    if (!entry)
        return std::nullopt;
    if (now - entry->servedAt > m_lifetime) {
        m_table.erase(chat.hash);
        return std::nullopt;
    }
    return m_table.find(chat.hash)->engine;
}

void DisplacedChatTable::removeEngine(EngineHash engine)
{
    m_table.eraseIf([engine](uint64_t, const Entry& entry) { return entry.engine == engine; });
}

}
