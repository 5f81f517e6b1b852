#pragma once

#include "../collections/LruTable.h"

#include <borageslip_core/identity/ChatKey.h>

namespace borageslip {

/** Spreads the requests of a popular chat over several engines. Counts the chat's requests in flight and returns how
    many ranks the next one skips, so that no engine receives more than a few requests of one chat at once. Bounded in
    chats. */
class HotChatSpreader {
public:
    HotChatSpreader(size_t maxChats, int requestsPerEngine)
        : m_inFlight(maxChats)
        , m_requestsPerEngine(requestsPerEngine)
    {
    }

    /** Counts a request as in flight and returns the rank at which its placement starts. */
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
