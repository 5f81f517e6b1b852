#pragma once

#include <borageslip_core/errors/Result.h>
#include <borageslip_core/time/Clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace borageslip {

/** The contents of a ticket whose signature was verified. */
struct Ticket {
    std::string incarnation; ///< The only daemon incarnation that may execute calls under this ticket.
    uint64_t issuedAt = 0; ///< Wall-clock time of the issuing daemon, in milliseconds since the Unix epoch.
};

/** Issues and verifies tickets: idempotency keys `t1.<incarnation>.<random>.<mac>` that only one daemon incarnation may
    execute.

    The random part starts with the time of issue in 16 hexadecimal digits. With it, an incarnation that has dropped old
    outcomes determines whether an unknown ticket may be one of those (see OutcomeTable). The MAC is HMAC-SHA256 over
    everything before it. Thread-safe. */
class TicketIssuer {
public:
    struct Keys {
        std::string current; ///< Signs and verifies tickets.
        std::optional<std::string> previous {}; ///< Only verifies tickets, during a key rotation.
    };

    /** @param clock must outlive the issuer. */
    TicketIssuer(const Clock& clock, Keys);

    std::string issue(std::string_view incarnation) const;

    /** Errors: MalformedRequest for a ticket that is not signed with one of the keys. */
    Result<Ticket> verify(std::string_view ticket) const;

    /** Returns whether an idempotency key has the format of a ticket. Such a key is never treated as an ordinary one. */
    static bool isTicket(std::string_view key) { return key.starts_with("t1."); }

private:
    const Clock* m_clock;
    const Keys m_keys;
};

}
