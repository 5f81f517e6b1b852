#pragma once

#include <borageslip_routing/collections/LruTable.h>

namespace borageslip {

/** Beginnings of prompts that were sent to one backend server, the most recent ones. Not thread-safe. */
class RecentPrefixes {
public:
    /** Notes that a prompt that begins with these parts is sent to the server. Returns whether one has been before, so
        that the server has probably read them. */
    bool record(uint64_t affinity)
    {
        if (m_prefixes.find(affinity) != nullptr)
            return true;
        m_prefixes.findOrInsert(affinity);
        return false;
    }

    bool contains(uint64_t affinity) const { return m_prefixes.peek(affinity) != nullptr; }

private:
    static constexpr size_t maxPrefixes = 128;

    LruTable<char> m_prefixes { maxPrefixes }; ///< The values are not used.
};

}
