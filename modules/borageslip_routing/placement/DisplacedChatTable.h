#pragma once

#include "../collections/LruTable.h"
#include "EngineView.h"

#include <borageslip_core/identity/ChatKey.h>
#include <optional>

namespace borageslip {

/** Records the chats that were served by an engine other than their first choice, so that their next requests return to
    the engine that caches their prefix. Bounded in bytes; evicts the least recently used chat. */
class DisplacedChatTable {
public:
    /** @param lifetime time after which an entry is ignored, because the engine has most likely evicted the prefix. */
    DisplacedChatTable(size_t maxBytes, Duration lifetime)
        : m_table(LruTable<Entry>::withinBytes(maxBytes))
        , m_lifetime(lifetime)
    {
    }

    /** Records which engine served a chat; a chat served by its first choice is no longer displaced. */
    void recordServed(ChatKey, EngineHash servedAt, EngineHash firstChoice, TimePoint now);

    std::optional<EngineHash> find(ChatKey, TimePoint now);

    void removeEngine(EngineHash);

    size_t size() const { return m_table.size(); }
    size_t bytes() const { return m_table.bytes(); }
    static constexpr size_t bytesPerChat() { return LruTable<Entry>::bytesPerEntry(); }

private:
    struct Entry {
        EngineHash engine = 0;
        TimePoint servedAt {};
    };

    LruTable<Entry> m_table;
    Duration m_lifetime;
};

}
