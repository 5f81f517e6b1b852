#pragma once

#include <borageslip_routing/collections/LruTable.h>

namespace borageslip {

/** Beginnings of prompts that were sent to one backend server, the most recent ones. Not thread-safe. */
class PromptMemory {
public:
    /** Notes that a prompt that begins with these parts is sent to the server. Returns whether one has been before, so
        that the server has probably read them. */
    bool note(uint64_t affinity)
    {
        if (m_beginnings.find(affinity) != nullptr)
            return true;
        m_beginnings.findOrInsert(affinity);
        return false;
    }

    bool isKnown(uint64_t affinity) const { return m_beginnings.peek(affinity) != nullptr; }

private:
    static constexpr size_t maxBeginnings = 128;

    LruTable<char> m_beginnings { maxBeginnings }; ///< The values are not used.
};

}
