#pragma once

#include <borageslip_core/errors/Result.h>
#include <borageslip_core/time/Clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageslip {

/** A verified ticket. */
struct Ticket {
    std::string incarnation; ///< The only daemon incarnation that may execute calls under this ticket.
    uint64_t issuedAt = 0; ///< Milliseconds of the minting daemon's wall clock.
};

/** Makes and checks tickets: idempotency keys `t1.<incarnation>.<random>.<mac>` that one daemon incarnation may execute.

    The random part starts with the time of minting in 16 hexadecimal digits: an incarnation that has dropped old outcomes
    tells from it whether a ticket that it does not know can be one of them (see OutcomeTable). The MAC is HMAC-SHA256
    over everything before it. Thread-safe. */
class TicketIssuer {
public:
    struct Keys {
        std::string current; ///< Signs and verifies.
        std::optional<std::string> previous {}; ///< Verifies only, during a rotation.
    };

    /** @param clock must outlive the mint. */
    TicketIssuer(const Clock& clock, Keys);

    std::string issue(std::string_view incarnation) const;

    /** Errors: MalformedRequest for a ticket that was not made with one of the keys. */
    Result<Ticket> verify(std::string_view ticket) const;

    /** Whether an idempotency key claims to be a ticket. Such a key is never used as an ordinary one. */
    static bool isTicket(std::string_view key) { return key.starts_with("t1."); }

private:
    const Clock* m_clock;
    const Keys m_keys;
};

}
