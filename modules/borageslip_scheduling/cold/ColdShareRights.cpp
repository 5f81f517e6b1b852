#include "ColdShareRights.h"

#include <algorithm>

namespace borageslip {

namespace {

    constexpr size_t maxRememberedServers = 256; ///< Permits older than an interval are forgotten beyond it.

}

void ColdShareRights::hold(const ColdShareId& id, TimePoint now, TimePoint until)
{
    auto& right = m_rights[id];
    if (now >= right.until)
        right.begunAt = now;
    right.until = std::max(right.until, until);
}

void ColdShareRights::end(const ColdShareId& id)
{
    m_rights.erase(id);
}

bool ColdShareRights::isHeld(const ColdShareId& id, TimePoint now) const
{
    const auto found = m_rights.find(id);
    return found != m_rights.end() && now < found->second.until;
}

size_t ColdShareRights::heldCount(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_rights.begin(), m_rights.end(), [now](const auto& row) { return now < row.second.until; }));
}

size_t ColdShareRights::heldCount(std::string_view service, TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_rights.begin(), m_rights.end(), [&](const auto& row) { return row.first.service == service && now < row.second.until; }));
}

TimePoint ColdShareRights::nextOf(const Right& right, Duration interval, uint64_t server)
{
    const auto issued = right.issuedAt.find(server);
    return std::max(right.begunAt, issued == right.issuedAt.end() ? right.begunAt : issued->second) + interval;
}

void ColdShareRights::forgetOld(Right& right, Duration interval, TimePoint now)
{
    if (right.issuedAt.size() >= maxRememberedServers)
        std::erase_if(right.issuedAt, [&](const auto& row) { return now - row.second >= interval; });
}

std::optional<uint64_t> ColdShareRights::issue(std::string_view service, int shareCount, Duration interval, std::span<const uint64_t> servers, TimePoint now)
{
    for (const auto server : servers) {
        for (auto& [id, right] : m_rights) {
            if (id.service != service || id.index >= shareCount || now >= right.until || now < nextOf(right, interval, server))
                continue;
            forgetOld(right, interval, now);
            right.issuedAt[server] = now;
            return server;
        }
    }
    return std::nullopt;
}

std::optional<TimePoint> ColdShareRights::nextIssue(std::string_view service, int shareCount, Duration interval, std::span<const uint64_t> servers, TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto& [id, right] : m_rights) {
        if (id.service != service || id.index >= shareCount || now >= right.until)
            continue;
        for (const auto server : servers) {
            const auto at = nextOf(right, interval, server);
            next = next ? std::min(*next, at) : at;
        }
    }
    return next;
}

}
