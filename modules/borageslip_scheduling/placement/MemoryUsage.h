#pragma once

#include <cstdint>
#include <map>
#include <vector>

namespace borageslip {

/** A shared part of prompts in the memory of a server, which holds it once for all requests that use it. */
struct HeldPrefix {
    uint64_t hash = 0; ///< 0 for none.
    uint64_t tokens = 0;

    bool operator==(const HeldPrefix&) const = default;
};

/** The most that one request can hold in the memory of a server. */
struct RequestMemory {
    uint64_t ownTokens = 0; ///< Of the prompt without the shared prefix, and the maximum of output tokens.
    HeldPrefix prefix {};

    uint64_t total() const { return ownTokens + prefix.tokens; }
    bool operator==(const RequestMemory&) const = default;
};

/** What the requests of one instance can hold in the memory of one server. Totals, so that a lost or repeated message
    causes no lasting error. */
struct MemoryUsage {
    uint64_t server = 0; ///< Hash of the server's id.
    uint64_t ownTokens = 0;
    std::vector<HeldPrefix> prefixes {}; ///< Of the requests, each once.

    bool operator==(const MemoryUsage&) const = default;
};

/** The usage with one more request. */
MemoryUsage usageWith(MemoryUsage, const RequestMemory&);

/** Counts what the requests of this instance can hold in the memory of one server. Not thread-safe. */
class RequestMemoryCounter {
public:
    void add(const RequestMemory&);
    void remove(const RequestMemory&);
    MemoryUsage usage(uint64_t server) const;

    /** Usage without one of the counted requests. */
    MemoryUsage usageWithout(uint64_t server, const RequestMemory&) const;

private:
    struct CountedPrefix {
        uint64_t tokens = 0; ///< The most that a request has stated.
        uint32_t requests = 0;
    };

    uint64_t m_ownTokens = 0;
    std::map<uint64_t, CountedPrefix> m_prefixes; ///< By hash.
};

}
