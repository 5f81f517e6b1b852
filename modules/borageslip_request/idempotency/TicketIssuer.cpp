#include "TicketIssuer.h"

#include <borageslip_core/encoding/Digest.h>

#include <charconv>
#include <utility>

namespace borageslip {

namespace {

    constexpr std::string_view prefix = "t1.";
    constexpr size_t timeDigits = 16;
    constexpr size_t randomDigits = timeDigits + 32;

    std::string timeText(uint64_t milliseconds)
    {
        std::string text(timeDigits, '0');
        for (auto digit = text.rbegin(); digit != text.rend(); ++digit, milliseconds >>= 4)
            *digit = "0123456789abcdef"[milliseconds & 15];
        return text;
    }

}

TicketIssuer::TicketIssuer(const Clock& clock, Keys keys)
    : m_clock(&clock)
    , m_keys(std::move(keys))
{
}

std::string TicketIssuer::issue(std::string_view incarnation) const
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock->wallTime().time_since_epoch()).count();
    auto ticket = std::string(prefix).append(incarnation).append(".").append(timeText(static_cast<uint64_t>(now))).append(randomIdentity());
    const auto mac = macOf(m_keys.current, ticket);
    return ticket.append(".").append(mac);
}

Result<Ticket> TicketIssuer::verify(std::string_view ticket) const
{
    const Error invalid { ErrorKind::MalformedRequest, "the Idempotency-Key is not a valid ticket" };
    const auto macDot = ticket.rfind('.');
    if (!isTicket(ticket) || macDot <= prefix.size())
        return invalid;
    const auto text = ticket.substr(0, macDot);
    const auto mac = ticket.substr(macDot + 1);
    const bool isCurrent = equalsInConstantTime(mac, macOf(m_keys.current, text));
    const bool isPrevious = m_keys.previous && equalsInConstantTime(mac, macOf(*m_keys.previous, text));
    if (!isCurrent && !isPrevious)
        return invalid;
    const auto randomDot = text.rfind('.');
    if (randomDot < prefix.size() || text.size() - randomDot - 1 != randomDigits)
        return invalid;
    Ticket parsed { std::string(text.substr(prefix.size(), randomDot - prefix.size())) };
    const auto time = text.substr(randomDot + 1, timeDigits);
    if (std::from_chars(time.data(), time.data() + time.size(), parsed.issuedAt, 16).ec != std::errc {})
        return invalid;
    return parsed;
}

}
