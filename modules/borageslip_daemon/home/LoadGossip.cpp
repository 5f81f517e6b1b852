#include "LoadGossip.h"

#include <borageslip_request/borageslip_request.h>
#include <charconv>

namespace borageslip {

LoadGossip::LoadGossip(const std::unique_ptr<MembershipService>& membership, ControlBudget& budget, const Clock& clock)
    : m_membership(membership)
    , m_budget(budget)
    , m_clock(clock)
{
}

void LoadGossip::attachTo(InnerHeaders& headers) const
{
    const auto entry = m_membership ? m_membership->ownValue(GossipSlot::Load) : std::nullopt;
    if (!entry)
        return;
    auto text = encodeLoadHeader(*entry);
    if (m_budget.spend(ControlKind::BulkGossip, headerName.size() + text.size(), m_clock.now()))
        headers.emplace(headerName, std::move(text));
}

void LoadGossip::receiveFrom(const InnerHeaders& headers) const
{
    const auto text = headerOr(headers, headerName);
    if (text.empty() || !m_membership)
        return;
    if (const auto entry = decodeLoadHeader(text); isOk(entry))
        m_membership->mergeValue(value(entry));
}

std::string encodeLoadHeader(const GossipEntry& entry)
{
    const std::string payload(entry.payload.begin(), entry.payload.end());
    // The payload of a home without engines is empty. It is the middle field because HTTP/2 forbids header values that
    // begin or end with a space.
    return entry.member.text() + " " + base64Encode(payload) + " " + std::to_string(entry.version);
}

Result<GossipEntry> decodeLoadHeader(std::string_view text)
{
    const Error malformed { ErrorKind::InvalidMessage, "malformed load sums from a peer" };
    const auto first = text.find(' ');
    const auto second = text.rfind(' ');
    if (first == std::string_view::npos || second == first)
        return malformed;
    GossipEntry entry;
    entry.slot = GossipSlot::Load;
    entry.member = MemberId(text.substr(0, first));
    const auto encoded = text.substr(first + 1, second - first - 1);
    const auto [end, failure] = std::from_chars(text.data() + second + 1, text.data() + text.size(), entry.version);
    std::string payload;
    if (failure != std::errc() || end != text.data() + text.size() || entry.member.isEmpty() || !base64Decode(encoded, payload) || payload.size() > GossipTable::maxPayload)
        return malformed;
    entry.payload.assign(payload.begin(), payload.end());
    return entry;
}

}
