#pragma once

#include "../collections/LruTable.h"
#include "EngineView.h"

#include <borageslip_core/identity/ChatKey.h>
#include <optional>

namespace borageslip {

/** Remembers the chats that were served off their first choice, so that they return to the engine that holds their
    prefix. Bounded in bytes; the chats that returned longest ago are forgotten first. */
class DisplacedChatTable {
public:
    /** @param lifetime an entry is ignored after this time, when the engine has most likely evicted the prefix. */
    DisplacedChatTable(size_t maxBytes, Duration lifetime)
        : m_table(LruTable<Entry>::withinBytes(maxBytes))
        , m_lifetime(lifetime)
    {
    }

    /** Notes where a chat was served; a chat served at its first choice is no longer displaced. */
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
