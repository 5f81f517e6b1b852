#pragma once

#include "../collections/LruTable.h"

#include <borageslip_core/identity/ChatKey.h>

namespace borageslip {

/** Spreads a popular chat: counts its requests in flight and yields how many ranks the next request passes over, so
    that no engine receives more than a few requests of one chat at once. Bounded. */
class HotChatSpreader {
public:
    HotChatSpreader(size_t maxChats, int requestsPerEngine)
        : m_inFlight(maxChats)
        , m_requestsPerEngine(requestsPerEngine)
    {
    }

    /** Counts a request and returns its first rank. */
    size_t begin(ChatKey chat) { return static_cast<size_t>(m_inFlight.findOrInsert(chat.hash)++ / m_requestsPerEngine); }

    void end(ChatKey chat)
    {
        int* inFlight = m_inFlight.find(chat.hash);
        if (inFlight && --*inFlight <= 0)
            m_inFlight.erase(chat.hash);
    }

    static constexpr size_t bytesPerChat() { return LruTable<int>::bytesPerEntry(); }

private:
    LruTable<int> m_inFlight;
    int m_requestsPerEngine;
};

}
