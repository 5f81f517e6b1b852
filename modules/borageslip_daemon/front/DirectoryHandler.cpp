#include "DirectoryHandler.h"

#include "ServiceHandler.h"

#include <charconv>

namespace borageslip {

namespace {

    constexpr size_t defaultEntries = 3;
    constexpr size_t maxEntries = EntryDirectory::maxShardSize;
    constexpr size_t defaultTickets = 4;
    constexpr size_t maxTickets = 64;
    constexpr std::chrono::seconds defaultLifetime { 5 };

    size_t numberParameter(const httplib::Request& request, const char* name, size_t defaultValue, size_t maximum)
    {
        const auto text = request.get_param_value(name);
        size_t number = 0;
        const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
        return failure == std::errc() && end == text.data() + text.size() ? std::min(number, maximum) : defaultValue;
    }

}

DirectoryHandler::DirectoryHandler(const FleetViewHolder& fleet, MembersSource members, const TicketIssuer& ticketIssuer, Region region)
    : m_fleet(fleet)
    , m_members(std::move(members))
    , m_ticketIssuer(ticketIssuer)
    , m_region(std::move(region))
{
}

void DirectoryHandler::registerRoutes(httplib::Server& server)
{
    server.Get("/v1/entries", [this](const httplib::Request& request, httplib::Response& response) { handle(request, response); });
}

void DirectoryHandler::handle(const httplib::Request& request, httplib::Response& response)
{
    const auto fleet = m_fleet.current();
    const auto lifetime = fleet ? fleet->configuration().limits().directoryTtl : defaultLifetime;
    const auto* account = fleet ? fleet->configuration().accountForKey(bearerKey(request)) : nullptr;
    const auto members = m_members();
    const auto hint = request.has_param("hint") ? request.get_param_value("hint") : request.remote_addr;
    const auto count = numberParameter(request, "count", defaultEntries, maxEntries);
    const EntryDirectory directory(m_region, lifetime);
    const auto selection = directory.entriesFor(account ? std::optional(account->id) : std::nullopt, hint, count, *members);
    nlohmann::json body { { "entries", nlohmann::json::array() }, { "lifetime_s", selection.ttl.count() }, { "tickets", nlohmann::json::array() } };
    for (const auto& entry : selection.entries)
        body["entries"].push_back({ { "id", entry.id.text() }, { "address", "http://" + entry.address }, { "failure_domain", entry.failureDomain.text() }, { "region", entry.region.text() } });
    if (!selection.entries.empty())
        body["tickets"] = tickets(selection.entries.front().id, *members, numberParameter(request, "tickets", defaultTickets, maxTickets));
    response.set_header("Cache-Control", "max-age=" + std::to_string(selection.ttl.count()));
    response.set_content(body.dump(), "application/json");
}

nlohmann::json DirectoryHandler::tickets(const MemberId& entry, std::span<const Member> members, size_t count) const
{
    auto list = nlohmann::json::array();
    for (const auto& member : members) {
        if (member.id != entry)
            continue;
        const auto incarnation = incarnationOf(member.id, member.startIncarnation);
        for (size_t i = 0; i < count; ++i)
            list.push_back(m_ticketIssuer.issue(incarnation));
    }
    return list;
}

}
