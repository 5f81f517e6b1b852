#pragma once

#include <borageslip_core/borageslip_core.h>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace borageslip {

/** Requests entry addresses from the fleet's directory and caches each response per account until it expires. Thread-safe. */
class DirectoryClient {
public:
    /** @param seeds `ip:port` addresses used until a directory response lists others, and as a fallback afterwards. */
    DirectoryClient(std::vector<std::string> seeds, const Clock&);

    /** Returns `ip:port` addresses in order of preference; the seeds if the directory has not responded yet. */
    std::vector<std::string> entries(const std::string& accountKey);

    /** Removes and returns a ticket, the idempotency key of a call that must not be executed twice; empty if none is left. */
    std::string takeTicket(const std::string& accountKey);

    /** Returns the number of requests sent to the directory. */
    uint64_t requestCount() const;

private:
    struct CachedDirectory {
        std::mutex mutex;
        std::vector<std::string> entries;
        std::deque<std::string> tickets;
        TimePoint refreshAt;
    };

    CachedDirectory& cachedDirectory(const std::string& accountKey);
    void refresh(CachedDirectory&, const std::string& accountKey);
    bool fetch(CachedDirectory&, const std::string& address, const std::string& accountKey);

    const std::vector<std::string> m_seeds;
    const Clock& m_clock;
    mutable std::mutex m_mutex;
    std::map<std::string, CachedDirectory> m_cache;
    uint64_t m_requestCount = 0;
};

}
