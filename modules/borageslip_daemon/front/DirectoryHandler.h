#pragma once

#include "CallContext.h"

#include <borageslip_request/borageslip_request.h>
#include <functional>
#include <memory>
#include <vector>

namespace borageslip {

/** Serves `GET /v1/entries`: the addresses that a caller should use, and tickets for calls that must not be repeated.

    Also responds while this instance starts, leaves or drains, because any live instance must be able to direct callers to
    others. Thread-safe.
    @see EntryDirectory, TicketIssuer */
class DirectoryHandler {
public:
    using MembersSource = std::function<std::shared_ptr<const std::vector<Member>>()>;

    DirectoryHandler(const FleetViewHolder&, MembersSource, const TicketIssuer&, Region);

    void registerRoutes(httplib::Server&);

private:
    void handle(const httplib::Request&, httplib::Response&);
    nlohmann::json tickets(const MemberId& entry, std::span<const Member>, size_t count) const;

    const FleetViewHolder& m_fleet;
    const MembersSource m_members;
    const TicketIssuer& m_ticketIssuer;
    const Region m_region;
};

}
