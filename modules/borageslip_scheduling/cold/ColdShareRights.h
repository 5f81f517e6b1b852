#pragma once

#include <borageslip_core/time/Clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace borageslip {

/** Names one quota share of a service. */
struct ColdShareId {
    std::string service;
    int index = 0;

    bool operator==(const ColdShareId&) const = default;
    bool operator<(const ColdShareId& other) const { return std::tie(service, index) < std::tie(other.service, other.index); }
};

/** The shares that this instance holds, and the permits that it issues from them.

    Each share permits one request per interval to each server. The first permit of a server is issued one interval after
    the right began, so that a former holder's last permit and the first of this one are at least one interval apart.
    Not thread-safe. */
class ColdShareRights {
public:
    /** Extends the right to a share, or begins it. A right that has ended begins again at `now`. */
    void hold(const ColdShareId&, TimePoint now, TimePoint until);
    void end(const ColdShareId&);
    void endAll() { m_rights.clear(); }

    bool isHeld(const ColdShareId&, TimePoint now) const;
    size_t heldCount(TimePoint now) const;
    size_t heldCount(std::string_view service, TimePoint now) const;

    /** Issues a permit for the first of the servers that a held share allows.
        @param shareCount shares with this index or a higher one permit nothing.
        @return the hash of the server; nothing if no share allows any. */
    std::optional<uint64_t> issue(std::string_view service, int shareCount, Duration interval, std::span<const uint64_t> servers, TimePoint now);

    /** When a held share allows a request to one of the servers; nothing if no share is held. */
    std::optional<TimePoint> nextIssue(std::string_view service, int shareCount, Duration interval, std::span<const uint64_t> servers, TimePoint now) const;

private:
    struct Right {
        TimePoint begunAt {};
        TimePoint until {};
        std::unordered_map<uint64_t, TimePoint> issuedAt {}; ///< Last permit, by server.
    };

    static TimePoint nextOf(const Right&, Duration interval, uint64_t server);
    static void forgetOld(Right&, Duration interval, TimePoint now);

    std::map<ColdShareId, Right> m_rights;
};

}
