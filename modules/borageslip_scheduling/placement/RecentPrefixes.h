#pragma once

#include <borageslip_routing/collections/LruTable.h>

namespace borageslip {

/** Prompt prefixes most recently sent to one backend server, from which to estimate what its prefix cache holds.
    Bounded: the least recently used prefix is evicted first. Not thread-safe. */
class RecentPrefixes {
public:
    /** Records that a prompt with this prefix is sent to the server.
        @param affinity hash of the prefix.
        @return whether the prefix was recorded before, in which case the server has probably cached it. */
    bool record(uint64_t affinity)
    {
        if (m_prefixes.find(affinity) != nullptr)
            return true;
        m_prefixes.findOrInsert(affinity);
        return false;
    }

    /** Records that the server has not cached the prefix after all. */
    void forget(uint64_t affinity) { m_prefixes.erase(affinity); }

private:
    static constexpr size_t maxPrefixes = 128;

    LruTable<char> m_prefixes { maxPrefixes }; ///< Used as a set: the values have no meaning.
};

}
