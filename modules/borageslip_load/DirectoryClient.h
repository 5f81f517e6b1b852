#pragma once

#include <borageslip_core/borageslip_core.h>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace borageslip {

/** Asks the fleet's directory for entry addresses and keeps each answer for its lifetime, by account. Thread-safe. */
class DirectoryClient {
public:
    /** @param seeds `ip:port` addresses that are asked until a directory answer names others. */
    DirectoryClient(std::vector<std::string> seeds, const Clock&);

    /** Returns `ip:port` addresses in order of preference, never none. */
    std::vector<std::string> entries(const std::string& accountKey);

    /** Takes a ticket for a call that must not be repeated; empty when none is left. */
    std::string takeTicket(const std::string& accountKey);

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
